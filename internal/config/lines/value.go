package lines

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Size is a number of bytes. In a file, the number may have the suffix k, m or g for a power of 1,024.
type Size int64

// kind classifies the type of a field. The kind determines how many values the field's directive takes.
type kind uint8

const (
	plain     kind = iota // one value
	composite             // a struct: one value for each field
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func kindOf(t reflect.Type) kind {
	if t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(textType) {
		return composite
	}
	return plain
}

// parseValue parses a value into a field. The field's type must be one of those that settings may have.
func parseValue(field reflect.Value, text string) error {
	if u, ok := field.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if text == "" || u.UnmarshalText([]byte(text)) != nil {
			return fmt.Errorf("must be %s", describeType(field.Type()))
		}
		return nil
	}
	switch field.Type() {
	case durationType:
		value, err := parseDuration(text)
		field.SetInt(int64(value))
		return err
	case sizeType:
		value, err := parseSize(text)
		field.SetInt(value)
		return err
	}
	return parseBasic(field, text)
}

// parseBasic parses a value into a field of a basic type. It panics if settings must not have the type, because such a type is a
// programming error.
func parseBasic(field reflect.Value, text string) error {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
		return nil
	case reflect.Bool:
		return parseBool(field, text)
	case reflect.Int, reflect.Int64:
		value, err := strconv.ParseInt(text, 10, field.Type().Bits())
		if err != nil {
			return errors.New("not an integer, or out of range")
		}
		field.SetInt(value)
		return nil
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value, err := strconv.ParseUint(text, 10, field.Type().Bits())
		if err != nil {
			return fmt.Errorf("must be an integer from 0 to %d", ^uint64(0)>>(64-field.Type().Bits()))
		}
		field.SetUint(value)
		return nil
	}
	panic("settings cannot have the type " + field.Type().String())
}

func parseBool(field reflect.Value, text string) error {
	switch text {
	case "on", "yes", "true":
		field.SetBool(true)
	case "off", "no", "false":
		field.SetBool(false)
	default:
		return errors.New("must be on or off")
	}
	return nil
}

// describeType returns a description of a type's values for error messages.
func describeType(t reflect.Type) string {
	switch t.String() {
	case "netip.AddrPort":
		return "an address with a port, such as 127.0.0.1:6433"
	case "netip.Addr":
		return "an IP address"
	case "netip.Prefix":
		return "a prefix, such as 10.0.0.0/8"
	}
	return t.String()
}

// parseDuration parses a duration. A number without a unit, such as "100", is an error, because its unit is unknown. The
// exception is "0".
func parseDuration(text string) (time.Duration, error) {
	v, err := time.ParseDuration(text)
	if err != nil || strings.TrimLeft(text, "0123456789") == "" && text != "0" {
		return 0, errors.New("must be a duration with a unit, such as 100ms, 2s or 5m")
	}
	if v < 0 {
		return 0, errors.New("must not be negative")
	}
	return v, nil
}

// units maps the suffixes of sizes to bytes.
var units = map[byte]int64{'k': 1 << 10, 'm': 1 << 20, 'g': 1 << 30}

// parseSize parses a number of bytes.
func parseSize(text string) (int64, error) {
	number, unit := text, int64(1)
	if n := len(text); n > 0 && units[text[n-1]|0x20] > 0 {
		number, unit = text[:n-1], units[text[n-1]|0x20]
	}
	v, err := strconv.ParseInt(number, 10, 64)
	if err != nil || v < 0 || v > (1<<62)/unit {
		return 0, errors.New("must be a number of bytes, such as 512, 64k or 16m")
	}
	return v * unit, nil
}

// formatValue formats a field's value as a text that parseValue parses to the same value.
func formatValue(field reflect.Value) string {
	if m, ok := field.Interface().(encoding.TextMarshaler); ok {
		b, err := m.MarshalText()
		if err != nil {
			return ""
		}
		return string(b)
	}
	if field.Kind() == reflect.Bool {
		if field.Bool() {
			return "on"
		}
		return "off"
	}
	if field.Type() == sizeType {
		v := field.Int()
		for _, u := range []byte{'g', 'm', 'k'} {
			if v > 0 && v%units[u] == 0 {
				return strconv.FormatInt(v/units[u], 10) + string(u)
			}
		}
	}
	return fmt.Sprint(field.Interface())
}
