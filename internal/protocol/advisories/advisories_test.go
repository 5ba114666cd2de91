package advisories

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

var full = Advisory{
	UID: "s-5be2a07c", Start: 1_767_225_600_123, Healthy: true, Age: 40, Role: RolePrimary, RoleAge: 90, Position: 1_767_225_601_000,
	Load: []Field{{0, 610}, {3, 1 << 40}},
}

// encode returns the batches of advisories.
func encode(t *testing.T, all ...Advisory) (out [][]byte) {
	t.Helper()
	if _, err := Append(7, 1, all, func(b []byte) { out = append(out, b) }); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestRoundTrip(t *testing.T) {
	all := []Advisory{full, {UID: "x"}, {UID: strings.Repeat("u", MaxUIDSize), Role: RoleReplica, Age: MaxAge}}
	got, err := Parse(encode(t, all...)[0])
	if err != nil || got.Incarnation != 7 || got.Sequence != 1 || !reflect.DeepEqual(got.Advisories, all) {
		t.Errorf("%+v %v", got, err)
	}
}

// Many advisories are split into as many datagrams as needed. Each is a valid batch, and their sequence numbers are consecutive.
func TestBatches(t *testing.T) {
	var all []Advisory
	for range 300 {
		all = append(all, full)
	}
	n, next := 0, uint64(0)
	for _, b := range encode(t, all...) {
		got, err := Parse(b)
		next++
		if err != nil || len(b) > MaxSize || got.Sequence != next {
			t.Fatalf("%d bytes, sequence %d, want %d: %v", len(b), got.Sequence, next, err)
		}
		n += len(got.Advisories)
	}
	if n != 300 || next < 5 {
		t.Errorf("%d advisories in %d batches", n, next)
	}
	if out := encode(t); out != nil {
		t.Error("a batch without advisories was sent")
	}
}

func TestFaults(t *testing.T) {
	good := encode(t, full)[0]
	for n := range good {
		if _, err := Parse(good[:n]); err == nil {
			t.Errorf("cut to %d bytes unnoticed", n)
		}
	}
	h := string(good[:headerSize])
	for name, b := range map[string]string{
		"another version": "MSN\x02" + h[4:] + "\x00\x01x\x00\x00", "unknown flag": h + "\x20\x01x\x00\x00",
		"role 3": h + "\x06\x01x\x00\x00\x00", "no name": h + "\x00\x00\x00\x00", "long name": h + "\x00\x41" + strings.Repeat("x", 65) + "\x00\x00",
		"varint not in its shortest form": h + "\x00\x01x\x80\x00\x00", "too old": h + "\x00\x01x\x00\xff\xff\xff\x7f",
		"position 0": h + "\x08\x01x\x00\x00\x00", "no load": h + "\x10\x01x\x00\x00\x00",
		"load out of order": h + "\x10\x01x\x00\x00\x02\x03\x00\x03\x00", "one byte more": string(good) + "\x00",
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := Parse([]byte(b)); err == nil {
				t.Errorf("%s: %+v", name, got)
			}
		})
	}
	for _, n := range []Advisory{
		{}, {UID: strings.Repeat("u", MaxUIDSize+1)}, {UID: "x", Role: roles}, {UID: "x", Age: MaxAge + 1}, {UID: "x", RoleAge: 1},
		{UID: "x", Load: []Field{{1, 0}, {1, 0}}}, {UID: "x", Load: make([]Field, MaxFields+1)},
	} {
		if _, err := Append(1, 1, []Advisory{n}, func([]byte) { t.Errorf("%+v was encoded", n) }); err == nil {
			t.Errorf("%+v was accepted", n)
		}
	}
}

// Every batch that Parse accepts is encoded to the same bytes again.
func FuzzParse(f *testing.F) {
	var b []byte
	Append(7, 1, []Advisory{full, {UID: "x", Role: RoleReplica}}, func(x []byte) { b = x })
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Parse(b)
		if err != nil {
			return
		}
		var again []byte
		if _, err := Append(got.Incarnation, got.Sequence, got.Advisories, func(x []byte) { again = x }); err != nil || !bytes.Equal(again, b) {
			t.Errorf("%x came back as %x, %v", b, again, err)
		}
	})
}
