// Package lines reads settings in the manner of classic daemons: one directive a line, a name and its values; sections begin
// with a keyword line and last until the next one; # begins a comment; a value with blanks or # stands in double quotes. It
// knows no setting: what there is to set is told by the fields of a struct. Package config is its caller: Parse makes
// directives of a text, Decode fills the struct with them, Check applies its validate tags, and Print writes what is in force.
// The package keeps no state but the parser and the checker, which are made once and safe for all goroutines.
package lines

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Directive is one line that sets something or begins a section.
type Directive struct {
	Line   int
	Name   string
	Values []string
}

// Fault is one thing that is wrong with a file.
type Fault struct {
	File      string
	Line      int // 0: the file as a whole
	Directive string
	Text      string
}

// Error is file:line: directive: what is wrong.
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

// Faults are all that is wrong with a file, in the order of its lines.
type Faults []Fault

// Error is a line for each fault.
func (f Faults) Error() string {
	all := make([]string, len(f))
	for i := range f {
		all[i] = f[i].Error()
	}
	return strings.Join(all, "\n")
}

// maxLineBytes bounds a line's length, in bytes.
const maxLineBytes = 4096

// row is a line as the grammar sees it.
type row struct {
	Name   string   `parser:"@Word"`
	Values []string `parser:"@(Word | String)*"`
}

// grammar is built when a file is first read: a gateway without one has no need of it.
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

// Parse reads a text line by line. Faulty lines are told and left out.
func Parse(file, text string) ([]Directive, Faults) {
	var all []Directive
	var faults Faults
	for i, line := range strings.Split(text, "\n") {
		if trimmed := strings.TrimSpace(line); trimmed == "" || trimmed[0] == '#' {
			continue
		}
		if len(line) > maxLineBytes {
			faults = append(faults, Fault{file, i + 1, "", fmt.Sprintf("the line has over %d bytes", maxLineBytes)})
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

// describeSyntaxError says at which column a line is wrong, and what is.
func describeSyntaxError(err error) string {
	if at, ok := errors.AsType[participle.Error](err); ok {
		return fmt.Sprintf("column %d: %s", at.Position().Column, strings.TrimPrefix(at.Message(), "lexer: "))
	}
	return err.Error()
}

// Quote writes a value so that Parse reads it back.
func Quote(s string) string {
	if s != "" && !strings.ContainsAny(s, " \t\r\n\"#\\") {
		return s
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`).Replace(s) + `"`
}
