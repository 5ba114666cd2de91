package settings

import (
	"errors"
	"strconv"
	"strings"
)

// The errors of ParseScaled.
var (
	errNotNumber  = errors.New("not a number")
	errOutOfRange = errors.New("not a number within range")
)

// maxIntegerPart is the largest accepted integer part of a number. A number of this size fits an int64 when it is scaled by
// up to 10^5. Log positions in seconds are scaled by 10^6; for them, only integer parts up to 9.2e12 fit.
const maxIntegerPart = 1e13

// maxExponentForm is the largest accepted absolute value of a number in exponent notation.
const maxExponentForm = 1e15

// ParseScaled parses a decimal number and returns it multiplied by 10^digits and rounded down. The integer part may be at
// most maxIntegerPart.
func ParseScaled(text string, digits int) (int64, error) {
	if strings.ContainsAny(text, "eE") {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || value > maxExponentForm || value < -maxExponentForm {
			return 0, errOutOfRange
		}
		text = strconv.FormatFloat(value, 'f', digits, 64)
	}
	negative := strings.HasPrefix(text, "-")
	integer, fraction, _ := strings.Cut(strings.TrimPrefix(text, "-"), ".")
	value, err := strconv.ParseInt(integer, 10, 64)
	if err != nil || value < 0 || value > maxIntegerPart {
		return 0, errOutOfRange
	}
	value, exact, err := appendFraction(value, fraction, digits)
	if err != nil {
		return 0, err
	}
	if !negative {
		return value, nil
	}
	if !exact { // rounding down moves a negative number away from 0
		return -value - 1, nil
	}
	return -value, nil
}

// appendFraction appends the given number of digits of a decimal fraction to value, the integer part of the number. Missing
// digits count as 0. exact reports whether all digits that were left out are 0.
func appendFraction(value int64, fraction string, digits int) (scaled int64, exact bool, err error) {
	exact = true
	for i := range max(digits, len(fraction)) {
		digit := byte('0')
		if i < len(fraction) {
			if digit = fraction[i]; digit < '0' || digit > '9' {
				return 0, false, errNotNumber
			}
		}
		if i < digits {
			value = value*10 + int64(digit-'0')
		} else if digit != '0' {
			exact = false
		}
	}
	return value, exact, nil
}
