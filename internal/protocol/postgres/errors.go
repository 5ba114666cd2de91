package postgres

import (
	"errors"
	"strconv"
)

// The SQLSTATEs that the gateway sends or distinguishes, named by PostgreSQL's condition names (appendix A of its manual).
const (
	CodeTooManyConnections    = "53300" // the request was rejected before it ran, so a retry is safe
	CodeCannotConnectNow      = "57P03" // as with CodeTooManyConnections, the request was rejected before it ran
	CodeSystemError           = "58000" // the statement may or may not have taken effect
	CodeProtocolViolation     = "08P01"
	CodeFeatureNotSupported   = "0A000"
	CodeInvalidParameterValue = "22023"
	CodeReadOnlyTransaction   = "25006" // a write on a server that is not the primary
	CodeSnapshotTooOld        = "72000" // the server is too far behind for this read
	severityError             = "ERROR"
	severityFatal             = "FATAL"
	fieldSeverity             = 'S'
	fieldSeverityAlways       = 'V'
	fieldCode                 = 'C'
	fieldMessage              = 'M'
	fieldDetail               = 'D'
)

// AppendErrorResponse appends an ErrorResponse. After a fatal error, the sender must close the connection. A positive retryMillis
// is sent in the detail field: it is the number of milliseconds after which the client may retry.
func AppendErrorResponse(b []byte, fatal bool, code, message string, retryMillis int64) []byte {
	severity := severityError
	if fatal {
		severity = severityFatal
	}
	b, at := beginMessage(b, TypeErrorResponse)
	b = appendCString(append(b, fieldSeverity), severity)
	b = appendCString(append(b, fieldSeverityAlways), severity)
	b = appendCString(append(b, fieldCode), code)
	b = appendCString(append(b, fieldMessage), message)
	if retryMillis > 0 {
		b = appendCString(append(b, fieldDetail), strconv.FormatInt(retryMillis, 10))
	}
	return finishMessage(append(b, 0), at)
}

// AppendEmptyQueryResponse appends the complete response to an empty query, with ReadyForQuery.
func AppendEmptyQueryResponse(b []byte) []byte {
	b, at := beginMessage(b, TypeEmptyQueryResponse)
	return AppendReadyForQuery(finishMessage(b, at))
}

// parseErrorResponse returns the SQLSTATE of an ErrorResponse and reports whether it is fatal. It returns an error if the
// ErrorResponse is malformed or has no valid SQLSTATE.
func parseErrorResponse(b []byte) (code string, fatal bool, err error) {
	for len(b) > 1 {
		field := b[0]
		value, after, ok := cutCString(b[1:])
		if !ok || field == 0 {
			return "", false, errors.New("malformed ErrorResponse")
		}
		switch field {
		case fieldCode:
			code = value
		case fieldSeverity, fieldSeverityAlways:
			fatal = fatal || value == severityFatal || value == "PANIC"
		}
		b = after
	}
	if len(b) != 1 || b[0] != 0 || !isSQLState(code) {
		return "", false, errors.New("ErrorResponse without a valid SQLSTATE or without an end")
	}
	return code, fatal, nil
}

// isSQLState reports whether a code is an SQLSTATE: five characters, each a digit or a capital letter.
func isSQLState(code string) bool {
	for i := range len(code) {
		if c := code[i]; (c < '0' || c > '9') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return len(code) == 5
}
