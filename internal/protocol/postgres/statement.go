package postgres

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Statement is a client's statement, checked whole.
type Statement struct {
	ID            string
	Class         string
	TimeoutMillis int64 // milliseconds from the client's send until it stops waiting
	Group         int
	After         int64 // Unix milliseconds that the read must see; 0: none
	Retry         bool  // the client says that it repeats itself
	Key           string
	Write         bool // an INSERT; otherwise a SELECT
	timeoutStart  int  // where the digits of d stand in the message's body
	timeoutEnd    int
}

// The two forms of a statement, around its comment, key and value.
const (
	commentOpen  = "/* "
	commentClose = " */ "
	selectOpen   = "SELECT content FROM kv WHERE name = '"
	selectClose  = "'\x00"
	insertOpen   = "INSERT INTO kv (name, content) VALUES ('"
	insertValue  = "', '\\x"
	insertClose  = "') RETURNING content\x00"
)

// The bounds of what a statement holds.
const (
	maxTimeoutMillis = 24 * 60 * 60 * 1000 // of d: a day
	maxText          = 256                 // of an id, a class, a key and any value that goes on unread
	maxValue         = 64 << 10
)

// IsEmpty tells whether a query's text holds no statement at all.
func IsEmptyQuery(text []byte) bool {
	return len(bytes.Trim(text, " \t\r\n;\x00")) == 0
}

// ParseStatement checks a whole statement, given in parts as its message's body. Comment and key must stand within the
// first part; of the value only the digits may go on behind it. A server must never see anything but these two forms:
// what it cannot read ends its connection, whatever else waits there.
func ParseStatement(parts [][]byte) (Statement, error) {
	var statement Statement
	var first []byte
	if len(parts) > 0 {
		first = parts[0]
	}
	if !bytes.HasPrefix(first, []byte(commentOpen)) {
		return statement, errors.New("the statement begins with no comment")
	}
	length := bytes.Index(first[len(commentOpen):], []byte(commentClose))
	if length < 0 {
		return statement, errors.New("the statement's comment has no end")
	}
	end := len(commentOpen) + length
	if err := statement.parseComment(first[:end]); err != nil {
		return statement, err
	}
	at := end + len(commentClose)
	if bytes.HasPrefix(first[at:], []byte(insertOpen)) {
		statement.Write = true
		at += len(insertOpen)
	} else if bytes.HasPrefix(first[at:], []byte(selectOpen)) {
		at += len(selectOpen)
	} else {
		return statement, errors.New("the statement is neither of the forms that are served here")
	}
	n := 0
	for at+n < len(first) && isKey(first[at+n]) {
		n++
	}
	if n == 0 || n > maxText {
		return statement, fmt.Errorf("the key has a length of %d, not from 1 to %d", n, maxText)
	}
	statement.Key = string(first[at : at+n])
	rest := append([][]byte{first[at+n:]}, parts[1:]...)
	tail := selectClose
	if statement.Write {
		if !bytes.HasPrefix(rest[0], []byte(insertValue)) {
			return statement, errors.New("the statement has no value in hexadecimal digits")
		}
		rest[0] = rest[0][len(insertValue):]
		if n, rest = hexDigits(rest); n%2 != 0 || n > 2*maxValue {
			return statement, fmt.Errorf("the value has %d hexadecimal digits, not an even number up to %d", n, 2*maxValue)
		}
		tail = insertClose
	}
	if !equalParts(rest, tail) {
		return statement, errors.New("the statement does not end as it should")
	}
	return statement, nil
}

// comment reads the names and values up to the comment's end.
func (s *Statement) parseComment(comment []byte) error {
	seen := map[string]bool{}
	for at := len(commentOpen); at <= len(comment); {
		end := bytes.IndexByte(comment[at:], ',')
		if end < 0 {
			end = len(comment) - at
		}
		name, value, ok := strings.Cut(string(comment[at:at+end]), "=")
		if !ok || !isCommentText(name) {
			return fmt.Errorf("%.40q is no name=value", comment[at:at+end])
		}
		if !isCommentText(value) {
			return fmt.Errorf("%s is %.40q; letters, digits and -_.: may stand there, from 1 to %d of them", name, value, maxText)
		}
		if seen[name] {
			return fmt.Errorf("%.40q stands twice", name)
		}
		seen[name] = true
		if err := s.setField(name, value); err != nil {
			return err
		}
		if name == "d" {
			s.timeoutEnd = at + end
			s.timeoutStart = s.timeoutEnd - len(value)
		}
		at += end + 1
	}
	for _, name := range []string{"id", "c", "d", "cluster"} {
		if !seen[name] {
			return fmt.Errorf("the comment lacks %s", name)
		}
	}
	return nil
}

func (s *Statement) setField(name, value string) (err error) {
	switch name {
	case "id":
		s.ID = value
	case "c":
		s.Class = value
	case "d":
		s.TimeoutMillis, err = parseNumber(name, value, maxTimeoutMillis)
	case "cluster":
		var v int64
		v, err = parseNumber(name, value, 1<<31-1)
		s.Group = int(v)
	case "after":
		s.After, err = parseNumber(name, value, 1<<52)
	case "r":
		s.Retry = value == "1"
	}
	return err
}

func parseNumber(name, value string, limit int64) (int64, error) {
	v, err := strconv.ParseUint(value, 10, 63)
	if err != nil || int64(v) > limit {
		return 0, fmt.Errorf("%s is %.40q, not a whole number up to %d", name, value, limit)
	}
	return int64(v), nil
}

// plain tells whether a text may stand in a comment: nothing that could end it or a quote.
func isCommentText(s string) bool {
	if len(s) == 0 || len(s) > maxText {
		return false
	}
	for i := range len(s) {
		switch c := s[i]; {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', strings.IndexByte("-_.:", c) >= 0:
		default:
			return false
		}
	}
	return true
}

// isKey tells whether a byte may stand in a key: printable, and neither the quote nor the backslash.
func isKey(c byte) bool { return c >= ' ' && c <= '~' && c != '\'' && c != '\\' }

// hexDigits counts the digits that the parts begin with, and returns what follows them.
func hexDigits(parts [][]byte) (n int, rest [][]byte) {
	for k, p := range parts {
		for i, c := range p {
			if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
				return n + i, append([][]byte{p[i:]}, parts[k+1:]...)
			}
		}
		n += len(p)
	}
	return n, nil
}

func equalParts(parts [][]byte, want string) bool {
	for _, p := range parts {
		if len(p) > len(want) || string(p) != want[:len(p)] {
			return false
		}
		want = want[len(p):]
	}
	return want == ""
}

// AppendQueryHead writes the beginning of the message that passes a statement on: the head, and the body up to
// and with a new d. The rest of the body follows from the returned offset on, unchanged.
func (s *Statement) AppendQueryHead(b, first []byte, body int, timeoutMillis int64) ([]byte, int) {
	digits := strconv.AppendInt(nil, timeoutMillis, 10)
	b, at := beginMessage(b, TypeQuery)
	b = append(append(b, first[:s.timeoutStart]...), digits...)
	total := 4 + body - (s.timeoutEnd - s.timeoutStart) + len(digits)
	b[at+1], b[at+2], b[at+3], b[at+4] = byte(total>>24), byte(total>>16), byte(total>>8), byte(total)
	return b, s.timeoutEnd
}

// Words is what a statement says beside its comment, and the value that an INSERT writes, decoded. The statement must have been
// parsed before.
func SplitStatement(body []byte) (text, value []byte) {
	_, text, _ = bytes.Cut(body, []byte(commentClose))
	if _, value, insert := bytes.Cut(text, []byte(insertValue)); insert {
		value, _ = hex.DecodeString(string(bytes.TrimSuffix(value, []byte(insertClose))))
	}
	return text, value
}

// SelectStatement is a read of the gateway's own, as a client would send it.
func SelectStatement(id, class, key string, group int, waitMillis int64) []byte {
	return fmt.Appendf(nil, "%sid=%s,c=%s,d=%d,cluster=%d%s%s%s%s", commentOpen, id, class, waitMillis, group, commentClose, selectOpen, key, selectClose)
}

// Inserted makes the answer to an INSERT of the answer to a read of the same row, and the row's value. It takes whole messages,
// as they are passed on.
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

// AppendQuery writes a query of the gateway's own.
func AppendQuery(b []byte, sql string) []byte {
	b, at := beginMessage(b, TypeQuery)
	return finishMessage(appendCString(b, sql), at)
}

// LoadQuery asks a server for its load report.
const LoadQuery = "SHOW load"
