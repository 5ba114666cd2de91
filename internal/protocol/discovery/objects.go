package discovery

import (
	"bytes"
	"errors"
	"fmt"
)

// errUnbalanced is returned for a closing bracket without an opening bracket and for a string that continues past the end of its
// line.
var errUnbalanced = errors.New("a change is not a JSON object")

// Objects joins the lines of a watch into complete JSON values. A value may be on one line or, indented, on several. The zero
// value of Objects is ready for use, by one goroutine only.
type Objects struct {
	text     []byte // text of the incomplete value
	depth    int    // number of open brackets
	inString bool
	escaped  bool
}

// Partial reports whether a value has begun and has not ended yet.
func (o *Objects) Partial() bool { return o.depth > 0 }

// Add appends the next line, which must not include its line end, and returns the value that the line completes. It returns nil
// if the line is empty or the value continues. The value is valid until the next call. A value longer than MaxListSize is an
// error.
func (o *Objects) Add(line []byte) ([]byte, error) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return nil, nil
	}
	if o.depth == 0 {
		o.text = o.text[:0]
	}
	if len(o.text)+len(line) > MaxListSize {
		return nil, fmt.Errorf("a change is longer than %d bytes", MaxListSize)
	}
	o.text = append(append(o.text, line...), '\n')
	for _, b := range line {
		if err := o.scan(b); err != nil {
			return nil, err
		}
	}
	if o.inString {
		return nil, errUnbalanced
	}
	if o.depth > 0 {
		return nil, nil
	}
	return o.text, nil
}

// scan updates depth, inString and escaped for one byte.
func (o *Objects) scan(b byte) error {
	switch {
	case o.escaped:
		o.escaped = false
	case o.inString && b == '\\':
		o.escaped = true
	case b == '"':
		o.inString = !o.inString
	case o.inString:
	case b == '{' || b == '[':
		o.depth++
	case b == '}' || b == ']':
		if o.depth--; o.depth < 0 {
			return errUnbalanced
		}
	}
	return nil
}
