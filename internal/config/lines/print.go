package lines

import (
	"fmt"
	"io"
	"reflect"
)

// hiddenSecret is printed in place of a secret.
const hiddenSecret = "********"

// Print writes the settings, including defaults, in the format that Parse reads. It writes hiddenSecret in place of each secret.
func Print(w io.Writer, from any) error {
	p := printer{w: w}
	root := reflect.ValueOf(from).Elem()
	p.fields(root, "")
	for i := range root.NumField() {
		keyword := root.Type().Field(i).Tag.Get("section")
		f := root.Field(i)
		switch {
		case keyword == "":
		case f.Kind() == reflect.Slice:
			for k := range f.Len() {
				p.section(keyword, f.Index(k))
			}
		case !f.IsNil():
			p.section(keyword, f.Elem())
		}
	}
	return p.err
}

// printer writes lines until a write fails.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, a ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", a...)
	}
}

func (p *printer) section(keyword string, v reflect.Value) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("title") == "true" {
			keyword += " " + Quote(v.Field(i).String())
		}
	}
	p.line("%s", keyword)
	p.fields(v, "    ")
}

func (p *printer) fields(v reflect.Value, indent string) {
	for i := range v.NumField() {
		directive, secret := directiveName(v.Type().Field(i))
		if directive == "" {
			continue
		}
		f := v.Field(i)
		if f.Kind() != reflect.Slice {
			if !f.IsZero() || kindOf(f.Type()) == plain && f.Kind() != reflect.String && f.Kind() != reflect.Struct {
				p.line("%s%s%s", indent, directive, p.values(f, secret))
			}
			continue
		}
		for k := range f.Len() {
			p.line("%s%s%s", indent, directive, p.values(f.Index(k), secret))
		}
	}
}

func (p *printer) values(f reflect.Value, secret bool) string {
	parts, out := partsOf(f), ""
	for i, part := range parts {
		text := Quote(formatValue(part))
		if secret && i == len(parts)-1 {
			text = hiddenSecret
		}
		out += " " + text
	}
	return out
}
