package testcluster

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// Drawn faults are the same after formatting and parsing and for the same seed, and contain every kind that may be drawn.
func TestDrawnFaultsRoundTrip(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(200) {
		nodes := 2 + int(seed%8)
		all := DrawFaults(seed, nodes, 2, 30*time.Second)
		if !reflect.DeepEqual(all, DrawFaults(seed, nodes, 2, 30*time.Second)) {
			t.Fatalf("seed %d draws two different schedules", seed)
		}
		again, err := ParseScript("drawn", FormatScript(all))
		if err != nil || !reflect.DeepEqual(all, again) {
			t.Fatalf("seed %d: %v\n%s---\n%s", seed, err, FormatScript(all), FormatScript(again))
		}
		for _, f := range all {
			kinds[f.Verb] = true
			if f.At+f.Duration >= 24*time.Second || !faultKinds[f.Verb].instant && f.Duration == 0 {
				t.Errorf("seed %d: %v is not repaired in time", seed, f)
			}
			if slices.Contains(f.From, 0) || slices.ContainsFunc(slices.Concat(f.From, f.To), func(n int) bool { return n > nodes }) {
				t.Errorf("seed %d: %v names a gateway that does not exist", seed, f)
			}
		}
	}
	for name, v := range faultKinds {
		if kinds[name] == v.scriptOnly {
			t.Errorf("%s was drawn: %v", name, kinds[name])
		}
	}
}

func TestScripts(t *testing.T) {
	text := `
# in any order, as an operators' file is written
at 5s stop 4 for 2s
at 3s cut 1 -> 2
at 3500ms cut all <-> 2,3 for 1m
at 4s split 1,2 | 3,4 for 1s   # two halves
at 4s delay all -> 1 10ms..1s for 1s
at 4s loss 1 -> all 12.5% for 1s
at 6s sever all -> discovery for 1s
at 7s disk 2 old
`
	all, err := ParseScript("x", text)
	if err != nil || len(all) != 8 || all[0].Verb != "cut" || all[0].Duration != 0 || all[3].Jitter != 990*time.Millisecond || all[4].Amount != 0.125 {
		t.Fatalf("%v %+v", err, all)
	}
	for _, c := range []struct {
		f        string
		from, to int
		want     bool
	}{
		{"at 1s cut 1 -> 2", 1, 2, true},
		{"at 1s cut 1 -> 2", 2, 1, false},
		{"at 1s cut 1 <-> 2", 2, 1, true},
		{"at 1s cut all -> 2", 3, 2, true},
		{"at 1s cut all -> 2", 2, 3, false},
		{"at 1s cut all -> all", 2, 2, false},
		{"at 1s split 1,2 | 3", 3, 2, true},
		{"at 1s split 1,2 | 3", 1, 2, false},
		{"at 1s split 1 | 3", 1, 2, false},
	} {
		f, err := ParseFault(c.f)
		if err != nil || f.affects(c.from, c.to) != c.want {
			t.Errorf("%s from %d to %d: %v, want %v", c.f, c.from, c.to, err, c.want)
		}
	}
	for line, want := range map[string]string{
		"on 1s kill 1":                "x:1: on: unknown directive; valid directives here: at",
		"at soon kill 1":              `"soon" is not a valid start time; want the time since the run began`,
		"at 1s maim 1":                `"maim" is not a fault; the faults are cut, delay`,
		"at 1s kill":                  `"" is not a list of gateways`,
		"at 1s kill 1,x":              `"1,x" is not a list of gateways`,
		"at 1s kill 33":               `"33" is not a list of gateways`,
		"at 1s cut 1 to 2":            `found "to" instead of -> or <->`,
		"at 1s loss 1 -> 2 30":        `"30" is not a valid value of loss`,
		"at 1s loss 1 -> 2 130%":      `"130%" is not a valid value of loss`,
		"at 1s delay 1 -> 2 2s..1s":   `"2s..1s" is not a valid value of delay`,
		"at 1s lag":                   "the name of a server is missing",
		"at 1s disk 1 lost":           `"lost" is not a valid value of disk`,
		"at 1s reset 1 -> 2 for 1s":   `"for 1s" is not valid after reset`,
		"at 1s kill 1 for 1s and 2s":  `"for 1s and 2s" is not valid after kill`,
		"at 1s kill 1 for ever":       `"for ever" is not valid after kill`,
		"at 1s duplicate 1 -> 2 many": `"many" is not a valid value of duplicate`,
	} {
		if _, err := ParseScript("x", line); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", line, err, want)
		}
	}
	if _, err := ParseFault("at 1s kill 1\nat 2s kill 2"); err == nil {
		t.Error("ParseFault accepted two faults")
	}
}

// Shrink finds the fewest faults with which a run still fails, wherever they are in the list, and makes no run twice.
func TestShrink(t *testing.T) {
	var all []Fault
	for i := range 20 {
		all = append(all, Fault{At: time.Duration(i) * time.Second, Verb: "kill", From: []int{1 + i}})
	}
	for _, needed := range [][]int{{}, {0}, {19}, {3, 4}, {0, 10, 19}, {1, 2, 3, 4, 5, 6}} {
		seen := map[string]bool{}
		got := Shrink(all, 1000, func(faults []Fault) bool {
			if seen[FormatScript(faults)] {
				t.Errorf("%v: the same run twice", needed)
			}
			seen[FormatScript(faults)] = true
			for _, g := range needed {
				if !slices.ContainsFunc(faults, func(f Fault) bool { return f.From[0] == g+1 }) {
					return false
				}
			}
			return true
		})
		if len(got) != len(needed) {
			t.Errorf("%v: %d faults left\n%s", needed, len(got), FormatScript(got))
		}
	}
	runs := 0
	if got := Shrink(all, 5, func([]Fault) bool { runs++; return false }); runs != 5 || len(got) != 20 {
		t.Errorf("%d runs, %d faults", runs, len(got))
	}
}
