package postgres

import (
	"encoding/hex"
	"fmt"
	"strconv"
)

// AppendQueryHead appends the beginning of the Query message that forwards a statement: the header, and the body up to and
// including the comment's field d, whose value is replaced by timeoutMillis. first is the first part of the statement's
// body, and body is the size of that body in bytes. The caller must append the rest of the body unchanged, from the returned
// offset on.
func (s *Statement) AppendQueryHead(b, first []byte, body int, timeoutMillis int64) ([]byte, int) {
	digits := strconv.AppendInt(nil, timeoutMillis, 10)
	b, at := beginMessage(b, TypeQuery)
	b = append(append(b, first[:s.timeoutStart]...), digits...)
	total := 4 + body - (s.timeoutEnd - s.timeoutStart) + len(digits)
	b[at+1], b[at+2], b[at+3], b[at+4] = byte(total>>24), byte(total>>16), byte(total>>8), byte(total)
	return b, s.timeoutEnd
}

// TextStart returns the offset in the message's body at which the statement's text after its comment begins. The offset is within
// the first part that ParseStatement was given.
func (s *Statement) TextStart() int { return s.textStart }

// ValueStart returns the offset in the message's body at which the hexadecimal digits of an INSERT's value begin. The offset is
// within the first part that ParseStatement was given.
func (s *Statement) ValueStart() int { return s.valueStart }

// ValueEquals reports whether an INSERT writes a value. tail is the message's body from ValueStart on, in parts. The digits are
// compared where they are, because a decoded copy would take memory that no budget counts.
func ValueEquals(tail [][]byte, value []byte) bool {
	var digits [2]byte
	compared, read := 0, 0
	for k, part := range tail {
		for i, digit := range part {
			if compared == len(value) {
				return equalParts(append([][]byte{part[i:]}, tail[k+1:]...), insertClose)
			}
			digits[read] = digit
			if read++; read < len(digits) {
				continue
			}
			var decoded [1]byte
			if _, err := hex.Decode(decoded[:], digits[:]); err != nil || decoded[0] != value[compared] {
				return false
			}
			compared, read = compared+1, 0
		}
	}
	return false
}

// SelectStatement returns the statement of a read that the gateway itself sends, in the same form as a client's
// statement.
func SelectStatement(id, class, key string, group int, waitMillis int64) []byte {
	return fmt.Appendf(nil, "%sid=%s,c=%s,d=%d,cluster=%d%s%s%s%s",
		commentOpen, id, class, waitMillis, group, commentClose, selectOpen, key, selectClose)
}

// InsertResponse converts the response to a SELECT of a row into the response that the INSERT of that row would have had. It
// returns that response and the row's value. read must hold complete messages, as they are forwarded to clients;
// otherwise both results are nil.
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

// AppendQuery appends a Query message with a statement of the gateway itself.
func AppendQuery(b []byte, sql string) []byte {
	b, at := beginMessage(b, TypeQuery)
	return finishMessage(appendCString(b, sql), at)
}

// LoadQuery is the query for a server's load report.
const LoadQuery = "SHOW load"
