package lines

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Decode fills a struct from directives. The tags of its fields, and of the fields of its sections' structs, define the
// directives:
//
//	conf:"name"          a directive. A slice accepts any number of them; a struct takes the values in the order of its fields.
//	conf:"name,secret"   a directive whose last value Print hides
//	section:"name"       a pointer to a struct, or a slice of structs. Each section fills one struct.
//	title:"true"         in a section's struct: the value on the line that begins the section
//
// A section's struct embeds Source, which records the lines that the section was read from. If a type has a method Defaults,
// Decode calls that method before it sets any field of the type. Decode returns all faults, not only the first.
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

// Source records the lines that a section was read from.
type Source struct {
	Line int              // the line that begins the section; 0 for the directives before the first section
	at   map[string][]int // the lines of each directive
}

// LineOf returns the line of the i-th occurrence of a directive, or the line that begins the section if there is no such
// occurrence.
func (s Source) LineOf(directive string, i int) int {
	if list := s.at[directive]; i < len(list) {
		return list[i]
	}
	return s.Line
}

// Sections returns the keywords of the sections of a root struct, in the order of its fields.
func Sections(root any) (keywords []string) {
	t := reflect.TypeOf(root).Elem()
	for i := range t.NumField() {
		if keyword := t.Field(i).Tag.Get("section"); keyword != "" {
			keywords = append(keywords, keyword)
		}
	}
	return keywords
}

// decoder holds the state of one call of Decode.
type decoder struct {
	file     string
	root     reflect.Value
	section  reflect.Value // the section of the next directive; root before the first section
	repeated []repeatedSection
	faults   Faults
}

// repeatedSection is a section that becomes an element of a slice. Decode appends the section after it has read all lines,
// because a slice may move its elements when it grows, and decoder.section would then refer to the old copy.
type repeatedSection struct{ field, section reflect.Value }

func (d *decoder) fault(x Directive, format string, a ...any) {
	d.faults = append(d.faults, Fault{d.file, x.Line, x.Name, fmt.Sprintf(format, a...)})
}

// decodeSection begins a section: it creates the section's struct and stores the struct in the field whose tag is the keyword.
func (d *decoder) decodeSection(field reflect.Value, keyword Directive) {
	section := reflect.New(field.Type().Elem())
	applyDefaults(section.Elem())
	d.beginSection(section.Elem(), keyword.Line)
	d.setTitle(keyword)
	switch {
	case field.Kind() == reflect.Slice:
		d.repeated = append(d.repeated, repeatedSection{field, section.Elem()})
	case !field.IsNil():
		d.fault(keyword, "duplicate section")
	default:
		field.Set(section)
	}
}

func (d *decoder) beginSection(section reflect.Value, line int) {
	d.section = section
	*sourceOf(section) = Source{line, map[string][]int{}}
}

// setTitle sets the title field of a section to the value on the line that begins it.
func (d *decoder) setTitle(keyword Directive) {
	for i := range d.section.NumField() {
		if d.section.Type().Field(i).Tag.Get("title") != "true" {
			continue
		}
		if len(keyword.Values) != 1 {
			d.fault(keyword, "expected 1 value (a name), got %d", len(keyword.Values))
			return
		}
		d.section.Field(i).SetString(keyword.Values[0])
		return
	}
	if len(keyword.Values) > 0 {
		d.fault(keyword, "section keyword takes no value")
	}
}

// decodeDirective sets the field of the current section that belongs to a directive.
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
	d.fault(x, "unknown directive; valid directives here: %s", strings.Join(known, ", "))
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
		d.fault(x, "duplicate directive, first given on line %d", earlier[0])
		return
	}
	source.at[x.Name] = []int{x.Line}
	d.parseValues(field, x, x.Values)
}

// splitValues returns the values for each element that a line adds to a slice. A repeatable directive may have several plain
// values on one line; each of them is an element.
func splitValues(element reflect.Type, values []string) [][]string {
	if kindOf(element) == composite || len(values) <= 1 {
		return [][]string{values}
	}
	return slices.Collect(slices.Chunk(values, 1))
}

// parseValues parses a directive's values into a field, or into the fields of a struct.
func (d *decoder) parseValues(field reflect.Value, x Directive, values []string) {
	parts := partsOf(field)
	if len(values) != len(parts) {
		d.fault(x, "expected %s, got %d", countOf(len(parts), "value"), len(values))
		return
	}
	for i, part := range parts {
		if err := parseValue(part, values[i]); err != nil {
			d.fault(x, "invalid value %s: %v", strconv.Quote(values[i]), err)
		}
	}
}

// partsOf returns the variables that a directive's values are parsed into. These are the fields of a struct, or the field itself.
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

// applyDefaults calls the method Defaults of a value if it has one.
func applyDefaults(v reflect.Value) {
	if x, ok := v.Addr().Interface().(interface{ Defaults() }); ok {
		x.Defaults()
	}
}

// sourceOf returns the Source that a section's struct embeds, or a new Source if the struct embeds none.
func sourceOf(section reflect.Value) *Source {
	if f := section.FieldByName("Source"); f.IsValid() {
		return f.Addr().Interface().(*Source)
	}
	return &Source{}
}

// sectionField returns the field whose tag is a section's keyword.
func sectionField(root reflect.Value, keyword string) (field reflect.Value, ok bool) {
	for i := range root.NumField() {
		if root.Type().Field(i).Tag.Get("section") == keyword {
			return root.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// directiveName returns the name of the directive that sets a field, or "" if no directive sets the field. secret reports whether
// the directive's value is a secret.
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
