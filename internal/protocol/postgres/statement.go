package postgres

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Statement is a client's statement that ParseStatement has parsed and checked completely.
type Statement struct {
	ID            string
	Class         string
	TimeoutMillis int64 // milliseconds from the client's send until the client stops waiting
	Group         int
	After         int64 // the read must see all writes up to this time, in Unix milliseconds; 0: no such requirement
	Retry         bool  // the client marks the statement as a retry
	Key           string
	Write         bool // the statement is an INSERT; if false, a SELECT
	timeoutStart  int  // offset in the message's body at which the digits of the comment's field d begin
	timeoutEnd    int  // offset in the message's body at which the digits of the comment's field d end
	textStart     int  // offset in the message's body at which the text after the comment begins
	valueStart    int  // offset in the message's body at which the digits of an INSERT's value begin
}

// The fixed texts around the comment, the key and the value in the two forms of a statement.
const (
	commentOpen  = "/* "
	commentClose = " */ "
	selectOpen   = "SELECT content FROM kv WHERE name = '"
	selectClose  = "'\x00"
	insertOpen   = "INSERT INTO kv (name, content) VALUES ('"
	insertValue  = "', '\\x"
	insertClose  = "') RETURNING content\x00"
)

// Limits of the parts of a statement.
const (
	maxTimeoutMillis = 24 * 60 * 60 * 1000 // maximum of the comment's field d: one day
	maxTextSize      = 256                 // bytes of a key, and of each name and value in the comment
	maxValueSize     = 64 << 10            // bytes of an INSERT's value
)

// IsEmptyQuery reports whether a query's text contains no statement.
func IsEmptyQuery(text []byte) bool {
	return len(bytes.Trim(text, " \t\r\n;\x00")) == 0
}

// ParseStatement parses and checks a complete statement, given as the parts of its message's body. The comment and the key must
// be within the first part; only the value's digits and the text after them may continue in later parts. Any statement that has
// neither of the two forms must not reach a server, because the server would close the connection, which would end all other
// requests in flight on that connection too.
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
	statement.textStart = end + len(commentClose)
	at, err := statement.parseForm(first, statement.textStart)
	if err != nil {
		return statement, err
	}
	if at, err = statement.parseKey(first, at); err != nil {
		return statement, err
	}
	if statement.Write {
		statement.valueStart = at + len(insertValue)
	}
	return statement, statement.checkTail(append([][]byte{first[at:]}, parts[1:]...))
}

// parseForm recognizes the form of the statement by the text at an offset, sets Write, and returns the offset of the key.
func (s *Statement) parseForm(first []byte, at int) (int, error) {
	switch {
	case bytes.HasPrefix(first[at:], []byte(insertOpen)):
		s.Write = true
		return at + len(insertOpen), nil
	case bytes.HasPrefix(first[at:], []byte(selectOpen)):
		return at + len(selectOpen), nil
	}
	return at, errors.New("the statement is neither of the forms that are served here")
}

// parseKey sets Key to the text that begins at an offset, and returns the offset at which the key ends.
func (s *Statement) parseKey(first []byte, at int) (int, error) {
	end := at
	for end < len(first) && isKey(first[end]) {
		end++
	}
	if end == at || end-at > maxTextSize {
		return end, fmt.Errorf("the key has a length of %d, not from 1 to %d", end-at, maxTextSize)
	}
	s.Key = string(first[at:end])
	return end, nil
}

// checkTail checks the text after the key: the value of an INSERT, and the fixed text that ends the statement.
func (s *Statement) checkTail(tail [][]byte) error {
	want := selectClose
	if s.Write {
		if !bytes.HasPrefix(tail[0], []byte(insertValue)) {
			return errors.New("the statement has no value in hexadecimal digits")
		}
		tail[0] = tail[0][len(insertValue):]
		var digits int
		if digits, tail = hexDigits(tail); digits%2 != 0 || digits > 2*maxValueSize {
			return fmt.Errorf("the value has %d hexadecimal digits, not an even number up to %d", digits, 2*maxValueSize)
		}
		want = insertClose
	}
	if !equalParts(tail, want) {
		return errors.New("the statement does not end as it should")
	}
	return nil
}

// parseComment parses the comment's list of name=value pairs.
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
			return fmt.Errorf("%s is %.40q; letters, digits and -_.: may stand there, from 1 to %d of them", name, value, maxTextSize)
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

// setField sets the field that belongs to one name of the comment. Unknown names are ignored here; they are forwarded to the
// server without being interpreted.
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

// parseNumber parses a decimal number from 0 to limit. name is used in the error message only.
func parseNumber(name, value string, limit int64) (int64, error) {
	v, err := strconv.ParseUint(value, 10, 63)
	if err != nil || int64(v) > limit {
		return 0, fmt.Errorf("%s is %.40q, not a whole number up to %d", name, value, limit)
	}
	return int64(v), nil
}

// isCommentText reports whether a name or value is allowed in a comment. No character that could end the comment or a quoted
// string is allowed.
func isCommentText(s string) bool {
	if len(s) == 0 || len(s) > maxTextSize {
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

// isKey reports whether a byte is allowed in a key: printable ASCII except the quote and the backslash.
func isKey(c byte) bool { return c >= ' ' && c <= '~' && c != '\'' && c != '\\' }

// hexDigits returns the number of hexadecimal digits at the beginning of the parts, and the parts that follow the digits.
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

// equalParts reports whether the concatenation of parts equals want.
func equalParts(parts [][]byte, want string) bool {
	for _, p := range parts {
		if len(p) > len(want) || string(p) != want[:len(p)] {
			return false
		}
		want = want[len(p):]
	}
	return want == ""
}
