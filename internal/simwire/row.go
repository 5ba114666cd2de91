package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"

	"marblespan/internal/clock"
	"marblespan/internal/settings"
)

// row reads the values of one message by their indexes and keeps the first error in err. For a value that cannot be read, the
// methods of row return the zero value.
type row struct {
	values []json.RawMessage
	err    error
}

// fail records the error that value i is not what was expected. If an error is already recorded, fail keeps the earlier error.
func (r *row) fail(i int, want string) {
	if r.err == nil {
		r.err = fmt.Errorf("value %d is not %s", i, want)
	}
}

// absent reports whether a value is null or missing.
func (r *row) absent(i int) bool { return i >= len(r.values) || string(r.values[i]) == "null" }

func (r *row) integer(i int) int64 {
	if !r.absent(i) {
		if value, err := strconv.ParseInt(string(r.values[i]), 10, 64); err == nil {
			return value
		}
	}
	r.fail(i, "a whole number")
	return 0
}

// integerOr reads an integer, and returns defaultValue if the value is absent.
func (r *row) integerOr(i int, defaultValue int64) int64 {
	if r.absent(i) {
		return defaultValue
	}
	return r.integer(i)
}

// unsigned reads a non-negative integer that fits into the given number of bits.
func (r *row) unsigned(i int, bits int) uint64 {
	if !r.absent(i) {
		if value, err := strconv.ParseUint(string(r.values[i]), 10, bits); err == nil {
			return value
		}
	}
	r.fail(i, "a whole number from 0 up")
	return 0
}

// maxCount is the largest value that the method count accepts.
const maxCount = 1 << 31

// count reads an integer from 0 to maxCount.
func (r *row) count(i int) int {
	value := r.integer(i)
	if value < 0 || value > maxCount {
		r.fail(i, "a small whole number")
		return 0
	}
	return int(value)
}

// seed reads any integer that fits into an int64 or a uint64. A negative integer is converted to a uint64.
func (r *row) seed(i int) uint64 {
	if !r.absent(i) {
		if value, err := strconv.ParseUint(string(r.values[i]), 10, 64); err == nil {
			return value
		}
	}
	return uint64(r.integer(i))
}

func (r *row) text(i int) string {
	var text string
	if r.absent(i) || json.Unmarshal(r.values[i], &text) != nil {
		r.fail(i, "a text")
	}
	return text
}

func (r *row) boolean(i int) bool {
	var value bool
	if r.absent(i) || json.Unmarshal(r.values[i], &value) != nil {
		r.fail(i, "true or false")
	}
	return value
}

// micros reads a number of milliseconds, possibly with a fraction. An absent value is 0.
func (r *row) micros(i int) clock.Micros {
	if r.absent(i) {
		return 0
	}
	return clock.Micros(r.scaled(i, 3))
}

// scaled reads a number, which must not be absent, and returns it in units of 10^-digits.
func (r *row) scaled(i, digits int) int64 {
	value, err := settings.ParseScaled(string(r.values[i]), digits)
	if err != nil {
		r.fail(i, "a number")
	}
	return value
}

// lookupCode reads a code and looks it up in a table. want describes the expected codes, for the error.
func lookupCode[T any](r *row, table map[int64]T, i int, want string) T {
	value, ok := table[r.integer(i)]
	if !ok {
		r.fail(i, want)
	}
	return value
}
