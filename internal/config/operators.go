package config

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"

	"marblespan/internal/config/lines"
)

// EnvOperators is the environment variable that holds the path of the operators' file. The flag --conf takes precedence over it.
const EnvOperators = "MARBLESPAN_CONF"

// Operators holds the settings of the operators' file. A feature whose section is missing is off. Without the file, all of these
// features are off.
type Operators struct {
	lines.Source
	Control     string       `conf:"control" validate:"max=100"` // path of the control socket
	Members     *Members     `section:"members" validate:"-"`
	StateStore  *StateStore  `section:"state-store" validate:"-"`
	VRRP        *VRRP        `section:"vrrp" validate:"-"`
	Groups      []Group      `section:"group" validate:"-"`
	InDoubt     []InDoubt    `section:"in-doubt" validate:"-"`
	Maintenance *Maintenance `section:"maintenance" validate:"-"`

	formerWords []FormerWord
}

// LoadOperators reads the operators' file at path. An empty path means that there is no file and that all features of the file
// are off. An error is of type lines.Faults and lists everything that is wrong with the file.
func LoadOperators(path string) (*Operators, error) {
	if path == "" {
		return &Operators{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		if cause, ok := errors.AsType[*os.PathError](err); ok {
			err = cause.Err
		}
		return nil, lines.Faults{{File: path, Text: fmt.Sprintf("cannot be read: %v", err)}}
	}
	return ParseOperators(path, string(raw))
}

// ParseOperators reads the content of an operators' file; the parameter file is the file's name in messages. An error is of type
// lines.Faults.
func ParseOperators(file, text string) (*Operators, error) {
	o := &Operators{}
	directives, faults := lines.Parse(file, text)
	o.formerWords = replaceFormerWords(file, directives)
	faults = append(faults, lines.Decode(file, directives, o)...)
	if len(faults) == 0 { // otherwise Check would also report an unparsable value as missing
		faults = lines.Check(file, o)
		faults = append(faults, o.checkSections(file)...)
	}
	if len(faults) > 0 {
		restoreFormerWords(faults, o.formerWords)
		slices.SortStableFunc(faults, func(a, b lines.Fault) int { return cmp.Compare(a.Line, b.Line) })
		return nil, faults
	}
	return o, nil
}

// Print writes the settings, including defaults, in the format of the file. Secrets are hidden.
func (o *Operators) Print(w io.Writer) error { return lines.Print(w, o) }

// faultList collects the faults that the validate tags cannot express, such as directives that contradict each other.
type faultList struct {
	file   string
	faults lines.Faults
}

// add adds a fault of a directive. For a directive that may be repeated, i is the index of the occurrence.
func (l *faultList) add(section lines.Source, directive string, i int, format string, a ...any) {
	l.faults = append(l.faults, lines.Fault{
		File: l.file, Line: section.LineOf(directive, i), Directive: directive, Text: fmt.Sprintf(format, a...),
	})
}

// checkSections checks the rules that the validate tags cannot express.
func (o *Operators) checkSections(file string) lines.Faults {
	faults := &faultList{file: file}
	if o.VRRP != nil {
		o.VRRP.check(o, faults)
	}
	if o.Members != nil {
		o.Members.check(faults)
	}
	if o.StateStore != nil {
		o.StateStore.check(o, faults)
	}
	checkInDoubt(o, faults)
	if o.Maintenance != nil {
		o.Maintenance.check(o, faults)
	}
	checkGroups(o, faults)
	return faults.faults
}

// RestartRequired returns the names of the directives whose values differ in next and cannot be changed in a running gateway.
func (o *Operators) RestartRequired(next *Operators) []string {
	var changed []string
	compare := func(name string, same bool) {
		if !same {
			changed = append(changed, name)
		}
	}
	compare("control", o.Control == next.Control)
	compare("members", (o.Members == nil) == (next.Members == nil))
	if m, n := o.Members, next.Members; m != nil && n != nil {
		compare("members node", m.Node == n.Node)
		compare("members deployment", m.Deployment == n.Deployment)
		compare("members bind", m.Bind == n.Bind)
		compare("members advertise", m.Advertise == n.Advertise)
	}
	compare("state-store", reflect.DeepEqual(o.stateStoreWithoutLines(), next.stateStoreWithoutLines()))
	compare("in-doubt", reflect.DeepEqual(o.inDoubtWithoutLines(), next.inDoubtWithoutLines()))
	compare("maintenance", (o.Maintenance == nil) == (next.Maintenance == nil))
	compare("vrrp", (o.VRRP == nil) == (next.VRRP == nil))
	if o.VRRP != nil && next.VRRP != nil {
		compare("vrrp node", o.VRRP.Node == next.VRRP.Node)
		compare("vrrp bind", o.VRRP.Bind == next.VRRP.Bind)
	}
	compare("group", slices.Equal(o.groupIdentities(), next.groupIdentities()))
	return changed
}

// stateStoreWithoutLines returns the state-store section without its line numbers, or a zero StateStore if there is none.
func (o *Operators) stateStoreWithoutLines() (section StateStore) {
	if o.StateStore != nil {
		section = *o.StateStore
		section.Source = lines.Source{}
	}
	return section
}

// inDoubtWithoutLines returns the in-doubt sections without their line numbers.
func (o *Operators) inDoubtWithoutLines() (sections []InDoubt) {
	for _, section := range o.InDoubt {
		section.Source = lines.Source{}
		sections = append(sections, section)
	}
	return sections
}

// groupIdentities returns, for each group, the settings that a running gateway cannot change. The result is sorted, so that the
// groups' order in the file does not matter.
func (o *Operators) groupIdentities() (identities []string) {
	for _, g := range o.Groups {
		identities = append(identities, fmt.Sprint(g.Name, g.VRID, g.Addresses, g.Listen))
	}
	slices.Sort(identities)
	return identities
}

// Summary returns the names of the sections that the file has, for the log.
func (o *Operators) Summary() string {
	var on []string
	if o.Members != nil {
		on = append(on, "members")
	}
	if o.StateStore != nil {
		on = append(on, "state-store")
	}
	for _, d := range o.InDoubt {
		on = append(on, "in-doubt "+d.Class)
	}
	if o.Maintenance != nil {
		on = append(on, "maintenance")
	}
	if o.VRRP != nil {
		on = append(on, "vrrp")
	}
	for _, g := range o.Groups {
		on = append(on, "group "+g.Name)
	}
	return strings.Join(on, ", ")
}
