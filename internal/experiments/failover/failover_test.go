package failover

import (
	"strings"
	"testing"
	"time"

	"marblespan/internal/fake"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

// TestDurationOf checks durationOf on a fixed time line: gateway 1 fails at 100 ms, gateway 2 takes over at 400 ms, gateway 1 is active
// again at 900 ms, and gateway 2 is backup at 905 ms.
func TestDurationOf(t *testing.T) {
	changes := []holderChange{{1, at(900), true}, {2, at(905), false}, {1, at(100), false}, {2, at(400), true}}
	never := func(int, time.Time) bool { return false }
	always := func(int, time.Time) bool { return true }
	noHolder := func(active, _ int) bool { return active == 0 }
	twoHolders := func(_, running int) bool { return running > 1 }
	for _, c := range []struct {
		name              string
		from, to          int
		holds             func(int, int) bool
		unreachable, runs func(int, time.Time) bool
		want              int64
	}{
		{"no holder", 100, 1000, noHolder, never, always, 300_000},
		{"two holders", 100, 1000, twoHolders, never, always, 5_000},
		{"always a holder", 400, 1000, noHolder, never, always, 0},
		{"the holder is unreachable", 100, 500, noHolder, func(n int, x time.Time) bool { return n == 2 && x.Before(at(500)) }, always, 400_000},
		{"one holder does not run", 100, 1000, twoHolders, never, func(n int, _ time.Time) bool { return n == 2 }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := durationOf(changes, at(c.from), at(c.to), c.holds, c.unreachable, c.runs); got != c.want {
				t.Errorf("%d us, want %d", got, c.want)
			}
		})
	}
}

func TestLongestWait(t *testing.T) {
	served := []fake.ClientEvent{
		{At: at(0), Client: "a"}, {At: at(90), Client: "a"}, {At: at(95), Client: "b"}, {At: at(390), Client: "a"}, {At: at(400), Client: "a"},
	}
	if got := longestWait(served, at(100), at(450)); got != 355_000 {
		t.Errorf("%d us, want 355000, the wait of client b", got)
	}
	if got := longestWait(served[:0], at(100), at(450)); got != 0 {
		t.Errorf("%d us without served bookings, want 0", got)
	}
}

func TestWrite(t *testing.T) {
	o := Defaults()
	if got := o.DownInterval().Microseconds(); got != 329_687 {
		t.Errorf("down interval %d us, want 329687", got)
	}
	if _, err := Run(Options{Kinds: []string{"flood"}}); err == nil || !strings.Contains(err.Error(), "kill, term, frozen, cut, split") {
		t.Errorf("%v", err)
	}
}
