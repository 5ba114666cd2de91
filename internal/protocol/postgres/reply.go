package postgres

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// Reply is the state of a server's response to one query or start-up, message by message, until ReadyForQuery. A valid
// response is RowDescription, one DataRow, CommandComplete and ReadyForQuery, or an ErrorResponse and ReadyForQuery. After an
// error of Handle the response is malformed, and nothing in it may be used. One goroutine owns a Reply.
type Reply struct {
	Startup bool   // it is the response to the start-up, not to a query
	Code    string // SQLSTATE of the ErrorResponse; empty if there was none
	Fatal   bool   // the server closes the connection after that error
	Ready   bool   // ReadyForQuery was received: the connection is free again
	Params  Params
	stage   replyStage
}

// replyStage is the last part of the response that was received.
type replyStage uint8

const (
	stageBegun replyStage = iota
	stageRowDescribed
	stageRow
	stageComplete
	stageAuthenticated // of a start-up: AuthenticationOk was received
	stageError         // an ErrorResponse was received
)

// Params are the ParameterStatus values that the gateway uses, as received; empty if not received. Position is the server's
// applied_ms.
type Params struct{ Role, Position, Load string }

// Complete reports whether a complete row was received, up to CommandComplete.
func (r *Reply) Complete() bool { return r.stage == stageComplete }

// Started reports whether part of the response was received, so that at least ReadyForQuery is still to follow.
func (r *Reply) Started() bool { return r.stage != stageBegun && r.stage != stageAuthenticated }

// IsForwarded reports whether messages of this type are forwarded to the client.
func IsForwarded(kind byte) bool {
	return kind == TypeRowDescription || kind == TypeDataRow || kind == TypeCommandComplete
}

// Handle takes the next message of the response. Of a DataRow's body the first six bytes are enough. It returns an error for
// a message that is malformed or not valid at this point.
func (r *Reply) Handle(header Header, body []byte) error {
	switch header.Type {
	case TypeNoticeResponse:
		return nil
	case TypeParameterStatus: // a malformed one is ignored: the response around it may be valid
		r.Params.set(body)
		return nil
	case TypeErrorResponse:
		return r.handleError(body)
	case TypeReadyForQuery:
		return r.handleReady(body)
	}
	if r.Startup {
		return r.handleStartup(header, body)
	}
	return r.handleRow(header, body)
}

// handleError takes an ErrorResponse, which may only be the first message of a response.
func (r *Reply) handleError(body []byte) (err error) {
	if r.Started() {
		return errors.New("an ErrorResponse behind part of an answer")
	}
	r.stage = stageError
	r.Code, r.Fatal, err = parseErrorResponse(body)
	return err
}

// handleReady takes ReadyForQuery, which ends a response. The gateway opens no transaction, so the status must be idle.
func (r *Reply) handleReady(body []byte) error {
	if len(body) != 1 || body[0] != 'I' {
		return errors.New("ReadyForQuery within a transaction")
	}
	if r.stage != stageError && r.stage != stageComplete && r.stage != stageAuthenticated {
		return errors.New("ReadyForQuery without an answer")
	}
	r.Ready = true
	return nil
}

// handleRow takes a message that only the response to a query contains.
func (r *Reply) handleRow(header Header, body []byte) error {
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

// handleStartup takes a message that only the response to a start-up contains.
func (r *Reply) handleStartup(header Header, body []byte) error {
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

// columnSize is the size in bytes of what follows a column's name in a RowDescription: the ids of table, column and type,
// sizes and format.
const columnSize = 18

// checkRowDescription accepts a RowDescription of exactly one column, with a name.
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

// checkDataRow accepts a DataRow of exactly one column that fills the body. A null is an error: the statements that the gateway
// forwards never return one.
func checkDataRow(header Header, body []byte) error {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return errors.New("DataRow of another number of columns than one")
	}
	if n := int32(binary.BigEndian.Uint32(body[2:])); n < 0 || int(n) != header.Body-6 {
		return errors.New("DataRow does not fit its column")
	}
	return nil
}

// checkCommandTag accepts a CommandComplete whose tag is printable ASCII.
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

// set takes the body of a ParameterStatus; one that is malformed or of another parameter changes nothing.
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

// RowValue is the single column of a DataRow whose complete body is given; empty for a body too short to have one.
func RowValue(body []byte) string {
	if len(body) < 6 {
		return ""
	}
	return string(body[6:])
}

// Field is one name and value of a load report.
type Field struct{ Name, Value string }

// LoadFields splits a load report, such as inflight=7,util=0.61. It reports whether the report was well-formed.
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
