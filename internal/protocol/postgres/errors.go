package postgres

import (
	"errors"
	"strconv"
)

// The SQLSTATEs that the gateway writes or tells apart.
const (
	CodeTooManyConnections    = "53300" // too_many_connections: turned away unseen, trying again is harmless
	CodeCannotConnectNow      = "57P03" // cannot_connect_now: likewise
	CodeSystemError           = "58000" // system_error: no promise about the effect
	CodeProtocolViolation     = "08P01" // protocol_violation
	CodeFeatureNotSupported   = "0A000" // feature_not_supported
	CodeInvalidParameterValue = "22023" // invalid_parameter_value
	CodeReadOnlyTransaction   = "25006" // read_only_sql_transaction: a write, and this is no primary
	CodeSnapshotTooOld        = "72000" // snapshot_too_old: too far behind for this read
	severityError             = "ERROR"
	severityFatal             = "FATAL"
	fieldSeverity             = 'S'
	fieldSeverityAlways       = 'V'
	fieldCode                 = 'C'
	fieldMessage              = 'M'
	fieldDetail               = 'D'
)

// AppendError writes an ErrorResponse. A fatal one is the last word on its connection. After the detail, if
// there is any, a refused client may come again after so many milliseconds.
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

// AppendEmptyAnswer writes the whole answer to an empty query.
func AppendEmptyQueryResponse(b []byte) []byte {
	b, at := beginMessage(b, TypeEmptyQueryResponse)
	return AppendReadyForQuery(finishMessage(b, at))
}

// parseError reads an ErrorResponse's code and whether it is fatal. One that is not whole tells nothing.
func parseErrorResponse(b []byte) (code string, fatal bool, err error) {
	for len(b) > 1 {
		field := b[0]
		value, after, ok := cutCString(b[1:])
		if !ok || field == 0 {
			return "", false, errors.New("ErrorResponse that cannot be read")
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
		return "", false, errors.New("ErrorResponse without an SQLSTATE or an end")
	}
	return code, fatal, nil
}

// isState tells whether a code is an SQLSTATE: five digits or capital letters.
func isSQLState(code string) bool {
	for i := range len(code) {
		if c := code[i]; (c < '0' || c > '9') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return len(code) == 5
}
