// Package lines reads configuration files like those of classic Unix daemons. Each line has one directive: a name and its values.
// A line with a keyword begins a section, which ends at the next keyword. A comment begins with #. A value that contains blanks
// or # is written in double quotes. The package has no settings of its own. The tags of the caller's struct define the
// directives.
//
// Package config is the main caller. Parse splits a text into directives, Decode fills the caller's struct from them, Check
// applies the validate tags, and Print writes the settings. The package's only state is the parser and the validator, which are
// created once and are safe for concurrent use.
package lines

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Directive is a line that sets a value or begins a section.
type Directive struct {
	Line   int
	Name   string
	Values []string
}

// Fault is one error in a file.
type Fault struct {
	File      string
	Line      int // 0 if the fault concerns the entire file
	Directive string
	Text      string
}

// Error returns the fault as "file:line: directive: text".
func (f Fault) Error() string {
	where := f.File
	if f.Line > 0 {
		where = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Directive != "" {
		where += ": " + f.Directive
	}
	return where + ": " + f.Text
}

// Faults lists all errors in a file, in the order of its lines.
type Faults []Fault

// Error returns the faults, each on a line of its own.
func (f Faults) Error() string {
	all := make([]string, len(f))
	for i := range f {
		all[i] = f[i].Error()
	}
	return strings.Join(all, "\n")
}

// maxLineBytes bounds a line's length, in bytes.
const maxLineBytes = 4096

// row is the result of parsing a line.
type row struct {
	Name   string   `parser:"@Word"`
	Values []string `parser:"@(Word | String)*"`
}

// grammar returns the parser of lines. The parser is built when the first line is parsed, because a gateway without an operators'
// file does not need the parser.
var grammar = sync.OnceValue(func() *participle.Parser[row] {
	return participle.MustBuild[row](
		participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
			{Name: "Space", Pattern: `[ \t\r]+`},
			{Name: "Comment", Pattern: `#.*`},
			{Name: "String", Pattern: `"(\\["\\nt]|[^"\\\x00-\x1f])*"`},
			{Name: "Word", Pattern: `[^\s"#\x00-\x1f]+`},
		})),
		participle.Elide("Space", "Comment"), participle.Unquote("String"),
	)
})

// Parse reads a text line by line. For a line that it cannot parse, Parse returns a fault instead of a directive.
func Parse(file, text string) ([]Directive, Faults) {
	var all []Directive
	var faults Faults
	for i, line := range strings.Split(text, "\n") {
		if trimmed := strings.TrimSpace(line); trimmed == "" || trimmed[0] == '#' {
			continue
		}
		if len(line) > maxLineBytes {
			faults = append(faults, Fault{file, i + 1, "", fmt.Sprintf("the line is longer than %d bytes", maxLineBytes)})
			continue
		}
		r, err := grammar().ParseString("", line)
		if err != nil {
			faults = append(faults, Fault{file, i + 1, "", describeSyntaxError(err)})
			continue
		}
		all = append(all, Directive{i + 1, r.Name, r.Values})
	}
	return all, faults
}

// describeSyntaxError returns the column and the message of a syntax error.
func describeSyntaxError(err error) string {
	if at, ok := errors.AsType[participle.Error](err); ok {
		return fmt.Sprintf("column %d: %s", at.Position().Column, strings.TrimPrefix(at.Message(), "lexer: "))
	}
	return err.Error()
}

// Quote returns a value in the form in which Parse reads it, with quotes if they are needed.
func Quote(s string) string {
	if s != "" && !strings.ContainsAny(s, " \t\r\n\"#\\") {
		return s
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`).Replace(s) + `"`
}
