package postgres

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// Reply follows a server's answer to one query, message by message, until ReadyForQuery. Only one order of messages is
// an answer; whatever departs from it is spoilt, and nothing that it said may be believed.
type Reply struct {
	Startup bool   // it answers the start-up, not a query
	Code    string // of an ErrorResponse, if there was one
	Fatal   bool   // the server closes behind that error
	Ready   bool   // ReadyForQuery came: the connection is free again
	Params  Params
	stage   stage
}

// stage is how far an answer has come.
type stage uint8

const (
	begun stage = iota
	described
	withRow
	complete
	admitted // of a start-up: it needs no password
	refused  // an ErrorResponse came
)

// Params are the ParameterStatus values that the gateway uses.
type Params struct{ Role, Position, Load string }

// Served tells whether the answer is a whole row.
func (r *Reply) Complete() bool { return r.stage == complete }

// Begun tells whether a part of the answer has come, behind which the rest is due: at the least ReadyForQuery.
func (r *Reply) Started() bool { return r.stage != begun && r.stage != admitted }

// Passes tells whether a message of this type is part of the value that goes on to the client.
func IsForwarded(kind byte) bool {
	return kind == TypeRowDescription || kind == TypeDataRow || kind == TypeCommandComplete
}

// Take reads one message. The body of a DataRow need hold no more than its beginning.
func (r *Reply) Handle(h Header, body []byte) error {
	switch h.Type {
	case TypeNoticeResponse:
		return nil
	case TypeParameterStatus: // one that cannot be read says nothing; the answer around it may be good
		r.Params.take(body)
		return nil
	case TypeErrorResponse:
		if r.stage != begun && r.stage != admitted {
			return errors.New("an ErrorResponse behind part of an answer")
		}
		var err error
		r.stage = refused
		r.Code, r.Fatal, err = parseError(body)
		return err
	case TypeReadyForQuery:
		if len(body) != 1 || body[0] != 'I' {
			return errors.New("ReadyForQuery within a transaction")
		}
		if r.stage != refused && r.stage != complete && r.stage != admitted {
			return errors.New("ReadyForQuery without an answer")
		}
		r.Ready = true
		return nil
	}
	if r.Startup {
		return r.start(h, body)
	}
	switch {
	case h.Type == TypeRowDescription && r.stage == begun:
		r.stage = described
		return checkDescription(body)
	case h.Type == TypeDataRow && r.stage == described:
		r.stage = withRow
		return checkRow(h, body)
	case h.Type == TypeCommandComplete && r.stage == withRow:
		r.stage = complete
		return checkTag(body)
	}
	return fmt.Errorf("unexpected message of type %q", h.Type)
}

// start reads a message that only a start-up brings.
func (r *Reply) start(h Header, body []byte) error {
	switch {
	case h.Type == TypeAuthentication && r.stage == begun:
		if len(body) != 4 || binary.BigEndian.Uint32(body) != 0 {
			return errors.New("the server asks for a password")
		}
		r.stage = admitted
	case h.Type == TypeBackendKeyData && r.stage == admitted:
	default:
		return fmt.Errorf("unexpected message of type %q", h.Type)
	}
	return nil
}

// fieldSize is what follows a column's name in a RowDescription: the ids of table, column and type, sizes and format.
const fieldSize = 18

func checkDescription(body []byte) error {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return errors.New("RowDescription of another number of columns than one")
	}
	name, rest, ok := cut(body[2:])
	if !ok || name == "" || len(rest) != fieldSize || binary.BigEndian.Uint16(rest[fieldSize-2:]) > 1 {
		return errors.New("RowDescription that cannot be read")
	}
	return nil
}

// checkRow checks a row's frame. A null is no value that a statement of ours can bring.
func checkRow(h Header, body []byte) error {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return errors.New("DataRow of another number of columns than one")
	}
	if n := int32(binary.BigEndian.Uint32(body[2:])); n < 0 || int(n) != h.Body-6 {
		return errors.New("DataRow does not fit its column")
	}
	return nil
}

func checkTag(body []byte) error {
	tag, rest, ok := cut(body)
	if !ok || tag == "" || len(rest) > 0 {
		return errors.New("CommandComplete without a tag")
	}
	for i := range len(tag) {
		if tag[i] < ' ' || tag[i] > '~' {
			return errors.New("CommandComplete with a tag that cannot be read")
		}
	}
	return nil
}

func (p *Params) take(body []byte) {
	name, rest, ok := cut(body)
	if !ok {
		return
	}
	value, rest, ok := cut(rest)
	if !ok || len(rest) > 0 {
		return
	}
	switch name {
	case "role":
		p.Role = value
	case "applied_ms":
		p.Position = value
	case "load":
		p.Load = value
	}
}

// RowValue is the single column of a DataRow whose whole body is given.
func RowValue(body []byte) string {
	if len(body) < 6 {
		return ""
	}
	return string(body[6:])
}

// Field is one value of a load report.
type Field struct{ Name, Value string }

// LoadFields splits a load report, such as inflight=7,util=0.61. It tells whether all of it could be read.
func LoadFields(report string) ([]Field, bool) {
	if report == "" {
		return nil, true
	}
	var out []Field
	for _, pair := range strings.Split(report, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return nil, false
		}
		out = append(out, Field{name, value})
	}
	return out, true
}
