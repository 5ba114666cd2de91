package config

import (
	"fmt"
	"slices"

	"marblespan/internal/config/lines"
)

// formerKey is a former word and the section that it stands in; "" for one that begins a section.
type formerKey struct{ section, name string }

// formerWords has the words that earlier versions had, in the sections by their new words, and the words in their place. A
// file may still write them, with a warning for each.
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

// FormerWord is a directive, or a section, that a file writes by its former word.
type FormerWord struct {
	File   string
	Line   int
	Former string
	New    string
}

// String is the warning for operators.
func (w FormerWord) String() string {
	return fmt.Sprintf("%s:%d: %s: a former word, which is still taken; the word is now %s", w.File, w.Line, w.Former, w.New)
}

// FormerWords are the former words that the file writes, in the order of its lines.
func (o *Operators) FormerWords() []FormerWord { return o.formerWords }

// replaceFormerWords puts the new words in the place of former ones, and returns what it replaced.
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

// newWordFor finds the new word for a directive that stands in a section. The former word copies has two: with a value, in
// the section that it began, it was a directive; else it began the section.
func newWordFor(section string, d lines.Directive) (newWord string, ok bool) {
	asSection, beginsSection := formerWords[formerKey{"", d.Name}]
	asDirective, isDirective := formerWords[formerKey{section, d.Name}]
	if isDirective && (len(d.Values) > 0 || !beginsSection) {
		return asDirective, true
	}
	return asSection, beginsSection
}

// nameAsWritten has the faults of lines with a former word name the word that stands in the file.
func nameAsWritten(faults lines.Faults, replaced []FormerWord) {
	for i := range faults {
		for _, w := range replaced {
			if faults[i].Line == w.Line && faults[i].Directive == w.New {
				faults[i].Directive = w.Former
			}
		}
	}
}
