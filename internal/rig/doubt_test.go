package rig

import (
	"bytes"
	"testing"
)

// Bookings that are claimed before they are sent, with five processes under load that asks again: none runs twice, and nobody is
// told wrongly.
func TestInDoubt(t *testing.T) {
	if raced {
		t.Skip("what these processes do, the race detector does not see")
	}
	for _, c := range []struct {
		name   string
		how    InDoubt
		script string
	}{
		{"calm", InDoubt{}, ""},
		{"answers are kept first", InDoubt{Safe: true}, "at 500ms kill 1 for 500ms\nat 2s kill 2 for 500ms"},
		{"kills", InDoubt{}, "at 500ms kill 1 for 500ms\nat 2s kill 2,3 for 500ms\nat 4s kill 4 for 1s"},
		{"kills, and a read that shows", InDoubt{Look: true}, "at 500ms kill 1 for 500ms\nat 2s kill 2,3 for 500ms\nat 4s kill 4 for 1s"},
		{"pauses", InDoubt{Look: true}, "at 500ms stop 1 for 3s\nat 1s stop 2 for 2s"},
		{"cut from the servers, and from the others", InDoubt{Look: true}, "at 500ms sever 1 -> p for 1s\nat 2s split 2 | 1,3,4,5 for 2s\nat 4s cut 3 -> all for 1s"},
		{"orderly restarts", InDoubt{}, "at 500ms term 1 for 100ms\nat 1500ms term 2 for 100ms"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			room <- true
			defer func() { <-room }()
			o := options()
			o.Nodes, o.Dir, o.Copies, o.InDoubt = 5, t.TempDir(), DefaultCopies(), &c.how
			o.Copies.NoMarks = true
			var history bytes.Buffer
			o.History = &history
			faults, err := ParseScript("script", c.script)
			if err != nil {
				t.Fatal(err)
			}
			load := DefaultLoad()
			load.Again = true
			out := Run(o, load, faults, nil)
			if out.Err != nil {
				t.Error(out.Err)
			}
			for _, v := range out.Broken {
				t.Error(v)
			}
			t.Logf("%+v", out.Totals)
		})
	}
}
