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

// checker returns the validator, which is created at the first call.
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

// fieldNamespace matches a field's namespace in a validation error: the struct, the directive, and the index of its occurrence if
// the directive may be repeated.
var fieldNamespace = regexp.MustCompile(`^[^.]*\.([^.\[]+)(?:\[(\d+)\])?`)

// Check returns a fault for each violation of a validate tag in the root struct and in its sections, with the directive's line.
func Check(file string, from any) Faults {
	root := reflect.ValueOf(from).Elem()
	faults := checkStruct(file, root)
	for i := range root.NumField() {
		if root.Type().Field(i).Tag.Get("section") == "" {
			continue
		}
		switch f := root.Field(i); {
		case f.Kind() == reflect.Slice:
			for k := range f.Len() {
				faults = append(faults, checkStruct(file, f.Index(k))...)
			}
		case !f.IsNil():
			faults = append(faults, checkStruct(file, f.Elem())...)
		}
	}
	return faults
}

// checkStruct checks the directives of one section, or the directives before the first section.
func checkStruct(file string, section reflect.Value) (faults Faults) {
	violations, ok := errors.AsType[validator.ValidationErrors](checker().Struct(section.Addr().Interface()))
	if !ok {
		return nil
	}
	source := sourceOf(section)
	for _, violation := range violations {
		match := fieldNamespace.FindStringSubmatch(violation.Namespace())
		directive := match[1]
		index, _ := strconv.Atoi(match[2])
		faults = append(faults, Fault{file, source.LineOf(directive, index), directive, describeViolation(violation)})
	}
	return faults
}

// describeViolation returns a text that describes the violated requirement.
func describeViolation(e validator.FieldError) string {
	n := e.Param()
	counted := map[reflect.Kind]string{reflect.Slice: " item(s)", reflect.String: " characters"}[e.Kind()]
	switch e.Tag() {
	case "required":
		return "must be set"
	case "min", "gte":
		return "at least " + n + counted + " required"
	case "max", "lte":
		return "at most " + n + counted + " allowed"
	case "oneof":
		return "must be one of " + strings.ReplaceAll(n, " ", ", ")
	case "unique":
		if n != "" {
			return "duplicate " + strings.ToLower(n) + " in this section"
		}
		return "duplicate value in this section"
	}
	return "does not satisfy " + e.Tag() + " " + n
}
