package settings

import (
	"errors"
	"strconv"
	"strings"
)

// What ParseScaled finds wrong.
var (
	errNotNumber  = errors.New("not a number")
	errOutOfRange = errors.New("not a number within range")
)

// maxIntegerPart bounds the part of a number before its point, so that it fits an int64 when scaled by up to 10^5; scaled by
// 10^6, as positions in seconds are, it fits up to 9.2e12.
const maxIntegerPart = 1e13

// maxExponentForm bounds the absolute value of a number with an exponent.
const maxExponentForm = 1e15

// ParseScaled reads a decimal number as a whole number of 10^-digits, rounded down. The part before the point may be up to
// maxIntegerPart.
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
	if !exact { // down is away from 0
		return -value - 1, nil
	}
	return -value, nil
}

// appendFraction appends the first digits of a fraction to a whole number; missing ones are 0. It reports whether those left
// out were all 0.
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
