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

// Size is a number of bytes: a number, or one with k, m or g behind it for the powers of 1,024.
type Size int64

// kind tells how many values a directive of a type takes.
type kind uint8

const (
	plain     kind = iota // one value
	composite             // a struct whose fields are the values of a directive
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

// parseValue reads one value into a field of one of the types that settings have.
func parseValue(field reflect.Value, text string) error {
	if u, ok := field.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if text == "" || u.UnmarshalText([]byte(text)) != nil {
			return fmt.Errorf("is no %s", describeType(field.Type()))
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
	return parseKind(field, text)
}

// parseKind reads a value of a type that is no more than its kind. A kind that no setting has is a fault of the program.
func parseKind(field reflect.Value, text string) error {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
		return nil
	case reflect.Bool:
		return parseSwitch(field, text)
	case reflect.Int, reflect.Int64:
		value, err := strconv.ParseInt(text, 10, field.Type().Bits())
		if err != nil {
			return errors.New("is no whole number, or too large")
		}
		field.SetInt(value)
		return nil
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value, err := strconv.ParseUint(text, 10, field.Type().Bits())
		if err != nil {
			return fmt.Errorf("is no whole number from 0 to %d", ^uint64(0)>>(64-field.Type().Bits()))
		}
		field.SetUint(value)
		return nil
	}
	panic("a setting of type " + field.Type().String())
}

func parseSwitch(field reflect.Value, text string) error {
	switch text {
	case "on", "yes", "true":
		field.SetBool(true)
	case "off", "no", "false":
		field.SetBool(false)
	default:
		return errors.New("is neither on nor off")
	}
	return nil
}

// describeType says what a value of a type looks like.
func describeType(t reflect.Type) string {
	switch t.String() {
	case "netip.AddrPort":
		return "address with a port, such as 127.0.0.1:6433"
	case "netip.Addr":
		return "IP address"
	case "netip.Prefix":
		return "prefix, such as 10.0.0.0/8"
	}
	return t.String()
}

// parseDuration reads a duration, which must name its unit: "100" of what?
func parseDuration(text string) (time.Duration, error) {
	v, err := time.ParseDuration(text)
	if err != nil || strings.TrimLeft(text, "0123456789") == "" && text != "0" {
		return 0, errors.New("is no span of time with a unit, such as 100ms, 2s or 5m")
	}
	if v < 0 {
		return 0, errors.New("is below zero")
	}
	return v, nil
}

// units are the suffixes of sizes, in bytes.
var units = map[byte]int64{'k': 1 << 10, 'm': 1 << 20, 'g': 1 << 30}

// parseSize reads a number of bytes.
func parseSize(text string) (int64, error) {
	number, unit := text, int64(1)
	if n := len(text); n > 0 && units[text[n-1]|0x20] > 0 {
		number, unit = text[:n-1], units[text[n-1]|0x20]
	}
	v, err := strconv.ParseInt(number, 10, 64)
	if err != nil || v < 0 || v > (1<<62)/unit {
		return 0, errors.New("is no size, such as 512, 64k or 16m")
	}
	return v * unit, nil
}

// formatValue is the inverse of parseValue.
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
