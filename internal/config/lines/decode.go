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
	decoder := decoder{file: file}
	root := reflect.ValueOf(into).Elem()
	applyDefaults(root)
	at := root
	decoder.beginSection(at, 0)
	var begun []reflect.Value // slices may move their elements as they grow; they are set at the end
	var slots []reflect.Value
	for _, x := range directives {
		field, isSlice, ok := sectionField(root, x.Name)
		if !ok {
			decoder.setDirective(at, x)
			continue
		}
		kind := field.Type().Elem()
		fresh := reflect.New(kind)
		applyDefaults(fresh.Elem())
		at = fresh.Elem()
		decoder.beginSection(at, x.Line)
		decoder.setTitle(at, x)
		if isSlice {
			begun, slots = append(begun, fresh.Elem()), append(slots, field)
			continue
		}
		if !field.IsNil() {
			decoder.fault(x, "given twice")
			continue
		}
		field.Set(fresh)
	}
	for i, v := range begun {
		slots[i].Set(reflect.Append(slots[i], v))
	}
	return decoder.faults
}

// Source tells which lines a section was read from.
type Source struct {
	Line int // of the line that begins it; 0 for what stands before all sections
	at   map[string][]int
}

// At is the line of a directive, of the i-th where it may be repeated, or else that of the section.
func (w Source) LineOf(directive string, i int) int {
	if list := w.at[directive]; i < len(list) {
		return list[i]
	}
	return w.Line
}

type decoder struct {
	file   string
	faults Faults
}

func (d *decoder) fault(x Directive, format string, a ...any) {
	d.faults = append(d.faults, Fault{d.file, x.Line, x.Name, fmt.Sprintf(format, a...)})
}

func applyDefaults(v reflect.Value) {
	if x, ok := v.Addr().Interface().(interface{ Defaults() }); ok {
		x.Defaults()
	}
}

func sourceOf(v reflect.Value) *Source {
	if f := v.FieldByName("Source"); f.IsValid() {
		return f.Addr().Interface().(*Source)
	}
	return &Source{}
}

func (d *decoder) beginSection(at reflect.Value, line int) {
	*sourceOf(at) = Source{line, map[string][]int{}}
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

// section finds the field that a section's keyword fills.
func sectionField(root reflect.Value, name string) (field reflect.Value, isSlice, ok bool) {
	for i := range root.NumField() {
		if root.Type().Field(i).Tag.Get("section") == name {
			f := root.Field(i)
			return f, f.Kind() == reflect.Slice, true
		}
	}
	return reflect.Value{}, false, false
}

func (d *decoder) setTitle(at reflect.Value, x Directive) {
	for i := range at.NumField() {
		if at.Type().Field(i).Tag.Get("title") == "true" {
			if len(x.Values) != 1 {
				d.fault(x, "takes one value, a name, and has %d", len(x.Values))
				return
			}
			at.Field(i).SetString(x.Values[0])
			return
		}
	}
	if len(x.Values) > 0 {
		d.fault(x, "begins a section and takes no value")
	}
}

// name is the directive that sets a field, and whether it is a secret.
func directiveName(f reflect.StructField) (string, bool) {
	tag, option, _ := strings.Cut(f.Tag.Get("conf"), ",")
	return tag, option == "secret"
}

func (d *decoder) setDirective(at reflect.Value, x Directive) {
	var known []string
	for i := range at.NumField() {
		n, _ := directiveName(at.Type().Field(i))
		if n == "" {
			continue
		}
		if known = append(known, n); n == x.Name {
			d.assignDirective(at, at.Field(i), x)
			return
		}
	}
	slices.Sort(known)
	d.fault(x, "is not known here; there is %s", strings.Join(known, ", "))
}

func (d *decoder) assignDirective(at, field reflect.Value, x Directive) {
	w := sourceOf(at)
	repeats := field.Kind() == reflect.Slice
	if !repeats && len(w.at[x.Name]) > 0 {
		d.fault(x, "given twice, first in line %d", w.at[x.Name][0])
		return
	}
	if !repeats {
		w.at[x.Name] = append(w.at[x.Name], x.Line)
		d.parseValues(field, x, x.Values)
		return
	}
	// A repeated directive may also have several plain values in a line.
	lists := [][]string{x.Values}
	if kindOf(field.Type().Elem()) != composite && len(x.Values) > 1 {
		lists = lists[:0]
		for _, v := range x.Values {
			lists = append(lists, []string{v})
		}
	}
	for _, values := range lists {
		w.at[x.Name] = append(w.at[x.Name], x.Line)
		fresh := reflect.New(field.Type().Elem()).Elem()
		applyDefaults(fresh)
		d.parseValues(fresh, x, values)
		field.Set(reflect.Append(field, fresh))
	}
}

// value reads one directive's values into a field, or into the fields of a struct.
func (d *decoder) parseValues(field reflect.Value, x Directive, values []string) {
	parts := []reflect.Value{field}
	if kindOf(field.Type()) == composite {
		parts = parts[:0]
		for i := range field.NumField() {
			parts = append(parts, field.Field(i))
		}
	}
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

func countOf(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return fmt.Sprintf("%d %ss", n, word)
}
