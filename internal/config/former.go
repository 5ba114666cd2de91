package config

import (
	"fmt"
	"slices"

	"marblespan/internal/config/lines"
)

// formerKey is a former word and the section to which it belongs. A former word is the name that a directive or a section keyword
// had in an earlier version. The section is "" if the former word begins a section.
type formerKey struct{ section, name string }

// formerWords maps the directives and section keywords of earlier versions to their present names. The sections in the keys have
// their present names. A file may still use a former word; the gateway logs a warning for each former word.
var formerWords = map[formerKey]string{
	{"", "copies"}: "state-store",

	{"state-store", "holders"}:      "raft-nodes",
	{"state-store", "copies"}:       "voters",
	{"state-store", "store"}:        "storage",
	{"state-store", "heal-after"}:   "repair-after",
	{"state-store", "heal-at-once"}: "max-repairs",
	{"state-store", "heal-rate"}:    "repair-rate",
	{"state-store", "marks-order"}:  "marks-mode",
	{"state-store", "marks-last"}:   "marks-ttl",

	{"in-doubt", "remember"}: "retention",
	{"in-doubt", "at-once"}:  "max-in-flight",
	{"in-doubt", "look"}:     "lookup",

	{"maintenance", "gateways"}: "max-gateways",
	{"maintenance", "servers"}:  "max-servers",
	{"maintenance", "in-zone"}:  "max-per-zone",
	{"maintenance", "load"}:     "max-load",
	{"maintenance", "for"}:      "default-duration",
	{"maintenance", "settle"}:   "settle-time",

	{"group", "let-go"}: "drain-timeout",
}

// FormerWord is one occurrence of a former word in an operators' file.
type FormerWord struct {
	File   string
	Line   int
	Former string
	New    string
}

// String returns the warning for operators.
func (w FormerWord) String() string {
	return fmt.Sprintf("%s:%d: %s: deprecated, use %s instead", w.File, w.Line, w.Former, w.New)
}

// FormerWords returns the former words that the file uses, in the order of its lines.
func (o *Operators) FormerWords() []FormerWord { return o.formerWords }

// replaceFormerWords renames former words among the directives to their present names, and returns those that it renamed.
func replaceFormerWords(file string, directives []lines.Directive) (replaced []FormerWord) {
	sections := lines.Sections(&Operators{})
	section := ""
	for i := range directives {
		d := &directives[i]
		if newWord, ok := newWordFor(section, *d); ok {
			replaced = append(replaced, FormerWord{File: file, Line: d.Line, Former: d.Name, New: newWord})
			d.Name = newWord
		}
		if slices.Contains(sections, d.Name) {
			section = d.Name
		}
	}
	return replaced
}

// newWordFor returns the present name of a directive in the given section; ok is false if the directive is not a former word. The
// former word copies began a section, and was also a directive of that section. Inside that section and with a value, newWordFor
// takes copies for the directive. Otherwise copies begins the section.
func newWordFor(section string, d lines.Directive) (newWord string, ok bool) {
	asSection, beginsSection := formerWords[formerKey{"", d.Name}]
	asDirective, isDirective := formerWords[formerKey{section, d.Name}]
	if isDirective && (len(d.Values) > 0 || !beginsSection) {
		return asDirective, true
	}
	return asSection, beginsSection
}

// restoreFormerWords changes the faults of lines that use a former word so that each fault names the directive as the file writes
// it.
func restoreFormerWords(faults lines.Faults, replaced []FormerWord) {
	for i := range faults {
		for _, w := range replaced {
			if faults[i].Line == w.Line && faults[i].Directive == w.New {
				faults[i].Directive = w.Former
			}
		}
	}
}
