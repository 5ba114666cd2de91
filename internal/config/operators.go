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

// EnvOperators names the operators' file where the command line does not.
const EnvOperators = "MARBLESPAN_CONF"

// Operators is the operators' own file. What it does not name is off; without the file everything in it is.
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

// LoadOperators reads the operators' file. Without a path there is none, and all of it is off. Its errors are
// lines.Faults, all that is wrong at once.
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

// ParseOperators reads the file's content. Its errors are lines.Faults.
func ParseOperators(file, text string) (*Operators, error) {
	o := &Operators{}
	directives, faults := lines.Parse(file, text)
	o.formerWords = replaceFormerWords(file, directives)
	faults = append(faults, lines.Decode(file, directives, o)...)
	if len(faults) == 0 { // what could not be read would only be found missing
		faults = lines.Check(file, o)
		faults = append(faults, o.checkSections(file)...)
	}
	if len(faults) > 0 {
		nameAsWritten(faults, o.formerWords)
		slices.SortStableFunc(faults, func(a, b lines.Fault) int { return cmp.Compare(a.Line, b.Line) })
		return nil, faults
	}
	return o, nil
}

// Print writes what is in force, secrets hidden.
func (o *Operators) Print(w io.Writer) error { return lines.Print(w, o) }

// faultList collects what several directives of a file, which are right by themselves, say together that cannot be.
type faultList struct {
	file   string
	faults lines.Faults
}

// add adds a fault of a directive, of the i-th where it may be repeated.
func (l *faultList) add(section lines.Source, directive string, i int, format string, a ...any) {
	l.faults = append(l.faults, lines.Fault{
		File: l.file, Line: section.LineOf(directive, i), Directive: directive, Text: fmt.Sprintf(format, a...),
	})
}

// checkSections checks what the validate tags cannot say.
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

// RestartRequired lists the directives whose values in next cannot be taken over by a running gateway.
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

// stateStoreWithoutLines is the section without the lines that it stands in; a zero one where there is none.
func (o *Operators) stateStoreWithoutLines() (section StateStore) {
	if o.StateStore != nil {
		section = *o.StateStore
		section.Source = lines.Source{}
	}
	return section
}

// inDoubtWithoutLines are the sections without the lines that they stand in.
func (o *Operators) inDoubtWithoutLines() (sections []InDoubt) {
	for _, section := range o.InDoubt {
		section.Source = lines.Source{}
		sections = append(sections, section)
	}
	return sections
}

// groupIdentities is what cannot change of the groups, in whatever order they stand in the file.
func (o *Operators) groupIdentities() (identities []string) {
	for _, g := range o.Groups {
		identities = append(identities, fmt.Sprint(g.Name, g.VRID, g.Addresses, g.Listen))
	}
	slices.Sort(identities)
	return identities
}

// Summary names the sections that are on, for the log.
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
