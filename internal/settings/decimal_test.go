package settings

import (
	"fmt"
	"testing"
)

func TestParseScaled(t *testing.T) {
	for _, c := range []struct {
		in     string
		digits int
		want   int64
		ok     bool
	}{
		{"0", 3, 0, true}, {"8412.25", 3, 8412250, true}, {"0.0009", 3, 0, true}, {"-0.0001", 3, -1, true},
		{"-2.5", 3, -2500, true}, {"6.204", 6, 6204000, true}, {"1e3", 3, 1000000, true}, {"2.5E-1", 3, 250, true},
		{"357778831.756", 3, 357778831756, true}, {"x", 3, 0, false}, {"1.x", 3, 0, false}, {"", 3, 0, false},
		{"1e99", 3, 0, false}, {"99999999999999999999", 3, 0, false},
	} {
		t.Run(fmt.Sprintf("%q", c.in), func(t *testing.T) {
			got, err := ParseScaled(c.in, c.digits)
			if (err == nil) != c.ok || got != c.want {
				t.Errorf("%q: %d, %v", c.in, got, err)
			}
		})
	}
}
