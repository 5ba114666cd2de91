package settings

import (
	"errors"
	"testing"

	"marblespan/internal/policy"
)

func TestWarningsNameTheirKeys(t *testing.T) {
	f, err := Parse([]byte(`{"classes":[{"name":"a","effect":"sideways","aim_ms":-1}],
		"family_info":{"checks":"maybe","freshness":["purple"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]bool{}
	for _, warning := range f.Warnings {
		got[warning.Key] = true
	}
	for _, key := range []string{
		"classes[0].effect", "classes[0].aim_ms", "family_info.checks", "family_info.freshness[0]",
	} {
		if !got[key] {
			t.Errorf("no warning about %s in %v", key, got)
		}
	}
	if c := f.Settings.Classes[0]; c.Effect != policy.EffectNonIdempotent || c.Need != policy.NeedWrite {
		t.Errorf("unknown words did not get their strictest meaning: %+v", c)
	}
}

func TestErrorsNameTheirKeys(t *testing.T) {
	for in, key := range map[string]string{
		`{"rules":{"fall_ms":"soon"}}`:           "rules.fall_ms",
		`{"classes":[{"name":"a","aim_ms":[]}]}`: "classes[0].aim_ms",
		`{"policy_limits":{"probing":1}}`:        "policy_limits.probing",
		`{"balancers":"two"}`:                    "balancers",
	} {
		t.Run(key, func(t *testing.T) {
			var fault *KeyError
			if _, err := Parse([]byte(in)); !errors.As(err, &fault) || fault.Key != key {
				t.Errorf("%s: %v, want %s", in, err, key)
			}
		})
	}
}

func TestSetReportField(t *testing.T) {
	var rep policy.LoadReport
	for field, value := range map[string]string{
		"x0": "1796133629.802", "x1": "1", "cpu_share": "0.464", "pending": "3", "mystery": "x",
	} {
		if err := SetLoadReportField(&rep, field, value, 0); err != nil {
			t.Errorf("%s: %v", field, err)
		}
	}
	want := policy.LoadReport{
		Position: 1_796_133_629_802_000, HasPosition: true, Role: policy.RolePrimary, Queue: 3000, HasQueue: true,
		Util: 464, HasUtil: true,
	}
	if rep != want {
		t.Errorf("%+v", rep)
	}
	if SetLoadReportField(&rep, "x0", "late", 0) == nil {
		t.Error("a position that is not a number was accepted")
	}
}

func TestHasSession(t *testing.T) {
	f, err := Parse([]byte(`{"classes":[{"name":"a"},{"name":"b"},{"name":"c"}],
		"family_info":{"freshness":["eventual","causal","mutate"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if f.HasSession(0) || !f.HasSession(1) || !f.HasSession(2) {
		t.Error("want a session for session reads and writes only")
	}
}

// The cost of crossing zones is parsed in thousandths of a point. Without that key the cost is 0, as it was before the key existed.
func TestCosts(t *testing.T) {
	for in, want := range map[string]int64{`{}`: 0, `{"costs":{}}`: 0, `{"costs":{"cross_zone":0.049,"waste":0.03}}`: 49} {
		f, err := Parse([]byte(in))
		if err != nil || len(f.Warnings) > 0 || f.Settings.CrossZoneCost != want {
			t.Errorf("%s: %+v, %v", in, f, err)
		}
	}
}
