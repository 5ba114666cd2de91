package lines

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

// all has a field of each type that settings may have.
type all struct {
	Source
	Text   string        `conf:"text"`
	On     bool          `conf:"on"`
	Span   time.Duration `conf:"span"`
	Size   Size          `conf:"size"`
	Count  int           `conf:"count"`
	Small  uint8         `conf:"small"`
	Prefix netip.Prefix  `conf:"prefix"`
	Pairs  []pair        `conf:"pair"`
	Words  []string      `conf:"word"`
}

type pair struct {
	Name string
	Size Size
}

func TestValues(t *testing.T) {
	var v all
	ds, faults := Parse("x", "text \"a # b\" # c\non yes\nspan 1m30s\nsize 64k\ncount -3\nsmall 255\nprefix 10.0.0.0/8\n"+
		"pair a 1G\npair b 512\nword x y\nword z\n")
	if faults = append(faults, Decode("x", ds, &v)...); len(faults) > 0 {
		t.Fatal(faults)
	}
	if v.Text != "a # b" || !v.On || v.Span != 90*time.Second || v.Size != 64<<10 || v.Count != -3 || v.Small != 255 ||
		v.Prefix.Bits() != 8 || len(v.Pairs) != 2 || v.Pairs[0].Size != 1<<30 || strings.Join(v.Words, "") != "xyz" {
		t.Errorf("%+v", v)
	}
	if v.LineOf("word", 2) != 11 || v.LineOf("word", 9) != 0 {
		t.Errorf("lines %d, %d", v.LineOf("word", 2), v.LineOf("word", 9))
	}
	var b strings.Builder
	if Print(&b, &v); !strings.Contains(b.String(), "size 64k\n") || !strings.Contains(b.String(), "pair a 1g\n") {
		t.Error(b.String())
	}
	for _, text := range []string{"size 64x", "size -1", "size 9999999999g", "count 1e3", "small 256", "prefix 10.0.0.0", "span -1s", "span 7",
		"on 1", "pair a", "pair a 1 2", "text", strings.Repeat("x", maxLineBytes+1)} {
		ds, faults := Parse("x", text)
		if faults = append(faults, Decode("x", ds, &all{})...); len(faults) != 1 || faults[0].Line != 1 {
			t.Errorf("%.40s: %v", text, faults)
		}
	}
}
