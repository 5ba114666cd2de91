package lines

import (
	"errors"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
)

// checker is made when a file is first checked.
var checker = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		if n, _ := directiveName(f); n != "" {
			return n
		}
		return f.Name
	})
	return v
})

var fieldNamespace = regexp.MustCompile(`^[^.]*\.([^.\[]+)(?:\[(\d+)\])?`)

// Check tells what a struct's validate tags forbid, each with the line it was read from. It looks at the values of a root
// and of its sections.
func Check(file string, from any) Faults {
	var faults Faults
	one := func(v reflect.Value) {
		var wrong validator.ValidationErrors
		if !errors.As(checker().Struct(v.Addr().Interface()), &wrong) {
			return
		}
		w := sourceOf(v)
		for _, e := range wrong {
			m := fieldNamespace.FindStringSubmatch(e.Namespace())
			i, _ := strconv.Atoi(m[2])
			faults = append(faults, Fault{file, w.LineOf(m[1], i), m[1], describeViolation(e)})
		}
	}
	root := reflect.ValueOf(from).Elem()
	one(root)
	for i := range root.NumField() {
		if root.Type().Field(i).Tag.Get("section") == "" {
			continue
		}
		switch f := root.Field(i); {
		case f.Kind() == reflect.Slice:
			for k := range f.Len() {
				one(f.Index(k))
			}
		case !f.IsNil():
			one(f.Elem())
		}
	}
	return faults
}

// reason words what a tag forbids.
func describeViolation(e validator.FieldError) string {
	n := e.Param()
	counted := map[reflect.Kind]string{reflect.Slice: " of them", reflect.String: " characters"}[e.Kind()]
	switch e.Tag() {
	case "required":
		return "is missing"
	case "min", "gte":
		return "must be " + n + counted + " or more"
	case "max", "lte":
		return "must be " + n + counted + " or less"
	case "oneof":
		return "must be one of " + strings.ReplaceAll(n, " ", ", ")
	case "unique":
		if n != "" {
			return "has the same " + strings.ToLower(n) + " twice"
		}
		return "has the same value twice"
	}
	return "does not meet " + e.Tag() + " " + n
}
