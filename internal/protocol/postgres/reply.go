package postgres

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// Reply tracks a server's response to one query or start-up, message by message, until ReadyForQuery. A valid
// response is RowDescription, one DataRow, CommandComplete and ReadyForQuery, or an ErrorResponse and ReadyForQuery. If Handle
// returns an error, the response is malformed, and nothing in it may be used. A Reply is used by one goroutine only.
type Reply struct {
	Startup    bool   // this is the response to a start-up, not to a query
	MayBeEmpty bool   // EmptyQueryResponse and ReadyForQuery are valid too
	Code       string // SQLSTATE of the ErrorResponse; empty if there was none
	Fatal      bool   // the server closes the connection after this error
	Ready      bool   // ReadyForQuery was received, so the connection is free again
	Params     Params
	stage      replyStage
}

// replyStage is the last part of the response that has been received.
type replyStage uint8

const (
	stageBegun replyStage = iota
	stageRowDescribed
	stageRow
	stageComplete
	stageAuthenticated // in a start-up: AuthenticationOk was received
	stageError         // an ErrorResponse was received
	stageEmptyQuery    // EmptyQueryResponse was received
)

// Params holds the ParameterStatus values that the gateway uses, as received; a value that was not received is empty. Position
// is the server's applied_ms.
type Params struct{ Role, Position, Load string }

// Complete reports whether a row and the CommandComplete after it were received.
func (r *Reply) Complete() bool { return r.stage == stageComplete }

// EmptyQuery reports whether the response is that to an empty query.
func (r *Reply) EmptyQuery() bool { return r.stage == stageEmptyQuery }

// Started reports whether part of the response to a query, or an ErrorResponse, was received, so that at least ReadyForQuery must
// still follow.
func (r *Reply) Started() bool { return r.stage != stageBegun && r.stage != stageAuthenticated }

// IsForwarded reports whether messages of this type are forwarded to the client.
func IsForwarded(kind byte) bool {
	return kind == TypeRowDescription || kind == TypeDataRow || kind == TypeCommandComplete
}

// Handle processes the next message of the response. For a DataRow, the first six bytes of the body are enough. Handle returns
// an error for a message that is malformed or not valid at this point of the response.
func (r *Reply) Handle(header Header, body []byte) error {
	switch header.Type {
	case TypeNoticeResponse:
		return nil
	case TypeParameterStatus: // if malformed, it is ignored, because the rest of the response may be valid
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

// handleError processes an ErrorResponse, which must not follow other parts of the response.
func (r *Reply) handleError(body []byte) (err error) {
	if r.Started() {
		return errors.New("ErrorResponse after another part of the response")
	}
	r.stage = stageError
	r.Code, r.Fatal, err = parseErrorResponse(body)
	return err
}

// handleReady processes ReadyForQuery, which ends a response. The status must be idle, because the gateway opens no transactions.
func (r *Reply) handleReady(body []byte) error {
	if len(body) != 1 || body[0] != 'I' {
		return errors.New("ReadyForQuery with a status other than idle")
	}
	switch r.stage {
	case stageError, stageComplete, stageAuthenticated, stageEmptyQuery:
	default:
		return errors.New("ReadyForQuery before the end of the response")
	}
	r.Ready = true
	return nil
}

// handleRow processes a message that only the response to a query contains.
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
	case header.Type == TypeEmptyQueryResponse && r.MayBeEmpty && r.stage == stageBegun && len(body) == 0:
		r.stage = stageEmptyQuery
		return nil
	}
	return fmt.Errorf("unexpected message of type %q", header.Type)
}

// handleStartup processes a message that only the response to a start-up contains.
func (r *Reply) handleStartup(header Header, body []byte) error {
	switch {
	case header.Type == TypeAuthentication && r.stage == stageBegun:
		if len(body) != 4 || binary.BigEndian.Uint32(body) != 0 {
			return errors.New("the server requires authentication")
		}
		r.stage = stageAuthenticated
	case header.Type == TypeBackendKeyData && r.stage == stageAuthenticated:
	default:
		return fmt.Errorf("unexpected message of type %q", header.Type)
	}
	return nil
}

// columnSize is the size in bytes of the fields after a column's name in a RowDescription: the IDs of table, column and type, the
// sizes and the format.
const columnSize = 18

// checkRowDescription returns an error unless a RowDescription has exactly one column, with a name.
func checkRowDescription(body []byte) error {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return errors.New("RowDescription does not have exactly one column")
	}
	name, attributes, ok := cutCString(body[2:])
	if !ok || name == "" || len(attributes) != columnSize || binary.BigEndian.Uint16(attributes[columnSize-2:]) > 1 {
		return errors.New("malformed RowDescription")
	}
	return nil
}

// checkDataRow returns an error unless a DataRow has exactly one column that fills the body. A null is an error, because the
// statements that the gateway forwards never return a null.
func checkDataRow(header Header, body []byte) error {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return errors.New("DataRow does not have exactly one column")
	}
	if n := int32(binary.BigEndian.Uint32(body[2:])); n < 0 || int(n) != header.Body-6 {
		return errors.New("DataRow with a null or with a column that does not fill it")
	}
	return nil
}

// checkCommandTag returns an error unless a CommandComplete has a tag of printable ASCII.
func checkCommandTag(body []byte) error {
	tag, after, ok := cutCString(body)
	if !ok || tag == "" || len(after) > 0 {
		return errors.New("CommandComplete with a missing or malformed tag")
	}
	for i := range len(tag) {
		if tag[i] < ' ' || tag[i] > '~' {
			return errors.New("CommandComplete with a tag that is not printable ASCII")
		}
	}
	return nil
}

// set stores the value from the body of a ParameterStatus. It ignores a malformed body and a parameter that the gateway does not
// use.
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

// RowValue returns the single column of a DataRow whose complete body is given. It returns an empty string if the body is too
// short to have a column.
func RowValue(body []byte) string {
	if len(body) < 6 {
		return ""
	}
	return string(body[6:])
}

// Field is one name=value pair of a load report.
type Field struct{ Name, Value string }

// LoadFields splits a load report, such as inflight=7,util=0.61, into its fields, and reports whether the report is well-formed.
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
