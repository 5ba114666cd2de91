package postgres

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strconv"
)

// AppendQueryHead appends the beginning of the Query message that forwards a statement: the header, and the body up to and
// including a new d of timeoutMillis. first is the body's first part, body the body's size. The rest of the body follows
// unchanged, from the returned offset on.
func (s *Statement) AppendQueryHead(b, first []byte, body int, timeoutMillis int64) ([]byte, int) {
	digits := strconv.AppendInt(nil, timeoutMillis, 10)
	b, at := beginMessage(b, TypeQuery)
	b = append(append(b, first[:s.timeoutStart]...), digits...)
	total := 4 + body - (s.timeoutEnd - s.timeoutStart) + len(digits)
	b[at+1], b[at+2], b[at+3], b[at+4] = byte(total>>24), byte(total>>16), byte(total>>8), byte(total)
	return b, s.timeoutEnd
}

// SplitStatement returns a statement's text without its comment, and the decoded value of an INSERT; nil for a SELECT. The
// statement must have passed ParseStatement.
func SplitStatement(body []byte) (text, value []byte) {
	_, text, _ = bytes.Cut(body, []byte(commentClose))
	if _, digits, insert := bytes.Cut(text, []byte(insertValue)); insert {
		value, _ = hex.DecodeString(string(bytes.TrimSuffix(digits, []byte(insertClose))))
	}
	return text, value
}

// SelectStatement is a read that the gateway itself sends, in the form of a client's.
func SelectStatement(id, class, key string, group int, waitMillis int64) []byte {
	return fmt.Appendf(nil, "%sid=%s,c=%s,d=%d,cluster=%d%s%s%s%s",
		commentOpen, id, class, waitMillis, group, commentClose, selectOpen, key, selectClose)
}

// InsertResponse turns the response to a read of a row into the response to the INSERT of that row, and returns the row's
// value with it. read holds complete messages, as they are forwarded; both results are nil if it does not.
func InsertResponse(read []byte) (row, answer []byte) {
	for len(read) >= HeaderSize {
		h, err := ParseHeader(read)
		if err != nil || len(read) < HeaderSize+h.Body {
			return nil, nil
		}
		message := read[:HeaderSize+h.Body]
		read = read[len(message):]
		switch h.Type {
		case TypeDataRow:
			row = []byte(RowValue(message[HeaderSize:]))
			fallthrough
		case TypeRowDescription:
			answer = append(answer, message...)
		case TypeCommandComplete:
			b, at := beginMessage(answer, TypeCommandComplete)
			answer = finishMessage(appendCString(b, "INSERT 0 1"), at)
		}
	}
	return row, answer
}

// AppendQuery appends a Query message with a text of the gateway itself.
func AppendQuery(b []byte, sql string) []byte {
	b, at := beginMessage(b, TypeQuery)
	return finishMessage(appendCString(b, sql), at)
}

// LoadQuery is the query for a server's load report.
const LoadQuery = "SHOW load"
