package statestore

import (
	"strings"
	"testing"
	"time"
)

// Every part of the measurement but real processes, small: figures come out of it, and nothing is left unpromised.
func TestMeasure(t *testing.T) {
	for _, disk := range []bool{false, true} {
		l, err := one(shape{3, 3, 4, disk, time.Hour}, 8, 500*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		if l.Rate <= 0 || l.Failed > 0 || l.Spans.Millis(50) < 0 {
			t.Errorf("%+v", l)
		}
	}
	o := Options{Callers: 8, RepairedRecords: 500, StoredRecords: 1600, LoadDuration: 300 * time.Millisecond}
	h, err := healed(o, false)
	if err != nil || h.Took <= 0 || h.Failed > 0 {
		t.Fatalf("%+v %v", h, err)
	}
	var r Result
	if err := r.recover(o); err != nil || r.OnDisk <= 0 || r.Counted <= 0 || r.Opened <= 0 {
		t.Errorf("%+v %v", r, err)
	}
	r.Heals, r.Rest, o.IdleGateways = []Heal{h}, []int64{7}, []int{3}
	var b strings.Builder
	if err := Write(&b, t.TempDir(), o, r); err != nil || !strings.Contains(b.String(), "7 bytes a second and gateway with 3 gateways") {
		t.Errorf("%v\n%s", err, b.String())
	}
}
