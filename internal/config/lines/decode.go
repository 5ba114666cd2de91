package lines

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Decode fills a struct from directives. Its fields, and those of the structs that its sections fill, tell what may be set:
//
//	conf:"name"          a directive. A slice takes any number of them; a struct takes its values in the order of its fields.
//	conf:"name,secret"   likewise, but Print hides its last value
//	section:"name"       a pointer to a struct, or a slice of structs, each filled by one section
//	title:"true"         in a section's struct: the value on the line that begins the section
//
// A section's struct embeds Source, which tells the lines it was read from. A type with a method Defaults is filled by it
// first. All faults are told at once.
func Decode(file string, directives []Directive, into any) Faults {
	root := reflect.ValueOf(into).Elem()
	applyDefaults(root)
	d := decoder{file: file, root: root, section: root}
	d.beginSection(root, 0)
	for _, directive := range directives {
		if field, ok := sectionField(root, directive.Name); ok {
			d.decodeSection(field, directive)
		} else {
			d.decodeDirective(directive)
		}
	}
	for _, repeated := range d.repeated {
		repeated.field.Set(reflect.Append(repeated.field, repeated.section))
	}
	return d.faults
}

// Source tells which lines a section was read from.
type Source struct {
	Line int // of the line that begins it; 0 for what stands before all sections
	at   map[string][]int
}

// LineOf is the line of a directive, of the i-th where it may be repeated, or else that of the section.
func (s Source) LineOf(directive string, i int) int {
	if list := s.at[directive]; i < len(list) {
		return list[i]
	}
	return s.Line
}

// Sections lists the keywords that begin the sections of a root struct, in the order of its fields.
func Sections(root any) (keywords []string) {
	t := reflect.TypeOf(root).Elem()
	for i := range t.NumField() {
		if keyword := t.Field(i).Tag.Get("section"); keyword != "" {
			keywords = append(keywords, keyword)
		}
	}
	return keywords
}

// decoder is what Decode has read so far.
type decoder struct {
	file     string
	root     reflect.Value
	section  reflect.Value // the one that directives are in now; the root before all sections
	repeated []repeatedSection
	faults   Faults
}

// repeatedSection is a section that is an element of a slice. It is appended once all lines are read: a slice may move its
// elements as it grows.
type repeatedSection struct{ field, section reflect.Value }

func (d *decoder) fault(x Directive, format string, a ...any) {
	d.faults = append(d.faults, Fault{d.file, x.Line, x.Name, fmt.Sprintf(format, a...)})
}

// decodeSection begins a section in the field that its keyword fills.
func (d *decoder) decodeSection(field reflect.Value, keyword Directive) {
	section := reflect.New(field.Type().Elem())
	applyDefaults(section.Elem())
	d.beginSection(section.Elem(), keyword.Line)
	d.setTitle(keyword)
	switch {
	case field.Kind() == reflect.Slice:
		d.repeated = append(d.repeated, repeatedSection{field, section.Elem()})
	case !field.IsNil():
		d.fault(keyword, "given twice")
	default:
		field.Set(section)
	}
}

func (d *decoder) beginSection(section reflect.Value, line int) {
	d.section = section
	*sourceOf(section) = Source{line, map[string][]int{}}
}

// setTitle reads the value on the line that begins a section.
func (d *decoder) setTitle(keyword Directive) {
	for i := range d.section.NumField() {
		if d.section.Type().Field(i).Tag.Get("title") != "true" {
			continue
		}
		if len(keyword.Values) != 1 {
			d.fault(keyword, "takes one value, a name, and has %d", len(keyword.Values))
			return
		}
		d.section.Field(i).SetString(keyword.Values[0])
		return
	}
	if len(keyword.Values) > 0 {
		d.fault(keyword, "begins a section and takes no value")
	}
}

// decodeDirective reads a directive into the field of the section that it sets.
func (d *decoder) decodeDirective(x Directive) {
	var known []string
	for i := range d.section.NumField() {
		name, _ := directiveName(d.section.Type().Field(i))
		if name == "" {
			continue
		}
		if name == x.Name {
			d.setField(d.section.Field(i), x)
			return
		}
		known = append(known, name)
	}
	slices.Sort(known)
	d.fault(x, "is not known here; there is %s", strings.Join(known, ", "))
}

func (d *decoder) setField(field reflect.Value, x Directive) {
	source := sourceOf(d.section)
	if field.Kind() == reflect.Slice {
		for _, values := range splitValues(field.Type().Elem(), x.Values) {
			source.at[x.Name] = append(source.at[x.Name], x.Line)
			element := reflect.New(field.Type().Elem()).Elem()
			applyDefaults(element)
			d.parseValues(element, x, values)
			field.Set(reflect.Append(field, element))
		}
		return
	}
	if earlier := source.at[x.Name]; len(earlier) > 0 {
		d.fault(x, "given twice, first in line %d", earlier[0])
		return
	}
	source.at[x.Name] = []int{x.Line}
	d.parseValues(field, x, x.Values)
}

// splitValues gives each element of a slice its values: a repeated directive may have several plain values in a line.
func splitValues(element reflect.Type, values []string) [][]string {
	if kindOf(element) == composite || len(values) <= 1 {
		return [][]string{values}
	}
	return slices.Collect(slices.Chunk(values, 1))
}

// parseValues reads a directive's values into a field, or into the fields of a struct.
func (d *decoder) parseValues(field reflect.Value, x Directive, values []string) {
	parts := partsOf(field)
	if len(values) != len(parts) {
		d.fault(x, "takes %s, and has %d", countOf(len(parts), "value"), len(values))
		return
	}
	for i, part := range parts {
		if err := parseValue(part, values[i]); err != nil {
			d.fault(x, "%s %v", strconv.Quote(values[i]), err)
		}
	}
}

// partsOf are what the values of a directive fill: the fields of a struct, or the field itself.
func partsOf(field reflect.Value) []reflect.Value {
	if kindOf(field.Type()) != composite {
		return []reflect.Value{field}
	}
	var parts []reflect.Value
	for i := range field.NumField() {
		parts = append(parts, field.Field(i))
	}
	return parts
}

// applyDefaults calls the method Defaults of a struct that has one.
func applyDefaults(v reflect.Value) {
	if x, ok := v.Addr().Interface().(interface{ Defaults() }); ok {
		x.Defaults()
	}
}

// sourceOf is the Source that a section's struct embeds.
func sourceOf(section reflect.Value) *Source {
	if f := section.FieldByName("Source"); f.IsValid() {
		return f.Addr().Interface().(*Source)
	}
	return &Source{}
}

// sectionField finds the field that a section's keyword fills.
func sectionField(root reflect.Value, keyword string) (field reflect.Value, ok bool) {
	for i := range root.NumField() {
		if root.Type().Field(i).Tag.Get("section") == keyword {
			return root.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// directiveName is the directive that sets a field, and whether it is a secret; empty: none does.
func directiveName(f reflect.StructField) (name string, secret bool) {
	name, option, _ := strings.Cut(f.Tag.Get("conf"), ",")
	return name, option == "secret"
}

func countOf(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
