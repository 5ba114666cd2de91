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
	stage   replyStage
}

// stage is how far an answer has come.
type replyStage uint8

const (
	stageBegun replyStage = iota
	stageRowDescribed
	stageRow
	stageComplete
	stageAuthenticated // of a start-up: it needs no password
	stageError         // an ErrorResponse came
)

// Params are the ParameterStatus values that the gateway uses.
type Params struct{ Role, Position, Load string }

// Served tells whether the answer is a whole row.
func (r *Reply) Complete() bool { return r.stage == stageComplete }

// Begun tells whether a part of the answer has come, behind which the rest is due: at the least ReadyForQuery.
func (r *Reply) Started() bool { return r.stage != stageBegun && r.stage != stageAuthenticated }

// Passes tells whether a message of this type is part of the value that goes on to the client.
func IsForwarded(kind byte) bool {
	return kind == TypeRowDescription || kind == TypeDataRow || kind == TypeCommandComplete
}

// Take reads one message. The body of a DataRow need hold no more than its beginning.
func (r *Reply) Handle(header Header, body []byte) error {
	switch header.Type {
	case TypeNoticeResponse:
		return nil
	case TypeParameterStatus: // one that cannot be read says nothing; the answer around it may be good
		r.Params.set(body)
		return nil
	case TypeErrorResponse:
		if r.stage != stageBegun && r.stage != stageAuthenticated {
			return errors.New("an ErrorResponse behind part of an answer")
		}
		var err error
		r.stage = stageError
		r.Code, r.Fatal, err = parseErrorResponse(body)
		return err
	case TypeReadyForQuery:
		if len(body) != 1 || body[0] != 'I' {
			return errors.New("ReadyForQuery within a transaction")
		}
		if r.stage != stageError && r.stage != stageComplete && r.stage != stageAuthenticated {
			return errors.New("ReadyForQuery without an answer")
		}
		r.Ready = true
		return nil
	}
	if r.Startup {
		return r.start(header, body)
	}
	switch {
	case header.Type == TypeRowDescription && r.stage == stageBegun:
		r.stage = stageRowDescribed
		return checkRowDescription(body)
	case header.Type == TypeDataRow && r.stage == stageRowDescribed:
		r.stage = stageRow
		return checkDataRow(header, body)
	case header.Type == TypeCommandComplete && r.stage == stageRow:
		r.stage = stageComplete
		return checkCommandTag(body)
	}
	return fmt.Errorf("unexpected message of type %q", header.Type)
}

// start reads a message that only a start-up brings.
func (r *Reply) start(header Header, body []byte) error {
	switch {
	case header.Type == TypeAuthentication && r.stage == stageBegun:
		if len(body) != 4 || binary.BigEndian.Uint32(body) != 0 {
			return errors.New("the server asks for a password")
		}
		r.stage = stageAuthenticated
	case header.Type == TypeBackendKeyData && r.stage == stageAuthenticated:
	default:
		return fmt.Errorf("unexpected message of type %q", header.Type)
	}
	return nil
}

// fieldSize is what follows a column's name in a RowDescription: the ids of table, column and type, sizes and format.
const columnSize = 18

func checkRowDescription(body []byte) error {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return errors.New("RowDescription of another number of columns than one")
	}
	name, attributes, ok := cutCString(body[2:])
	if !ok || name == "" || len(attributes) != columnSize || binary.BigEndian.Uint16(attributes[columnSize-2:]) > 1 {
		return errors.New("RowDescription that cannot be read")
	}
	return nil
}

// checkRow checks a row's frame. A null is no value that a statement of ours can bring.
func checkDataRow(header Header, body []byte) error {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return errors.New("DataRow of another number of columns than one")
	}
	if n := int32(binary.BigEndian.Uint32(body[2:])); n < 0 || int(n) != header.Body-6 {
		return errors.New("DataRow does not fit its column")
	}
	return nil
}

func checkCommandTag(body []byte) error {
	tag, after, ok := cutCString(body)
	if !ok || tag == "" || len(after) > 0 {
		return errors.New("CommandComplete without a tag")
	}
	for i := range len(tag) {
		if tag[i] < ' ' || tag[i] > '~' {
			return errors.New("CommandComplete with a tag that cannot be read")
		}
	}
	return nil
}

func (p *Params) set(body []byte) {
	name, after, ok := cutCString(body)
	if !ok {
		return
	}
	value, after, ok := cutCString(after)
	if !ok || len(after) > 0 {
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
func LoadFields(loadReport string) ([]Field, bool) {
	if loadReport == "" {
		return nil, true
	}
	var out []Field
	for _, pair := range strings.Split(loadReport, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return nil, false
		}
		out = append(out, Field{name, value})
	}
	return out, true
}
