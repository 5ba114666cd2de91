package sealed

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

func TestReplayGuard(t *testing.T) {
	for _, window := range []uint64{0, 4} {
		late := window > 0 // whether one that was overtaken still counts
		o := NewReplayGuard[uint8](100, window)
		take := func(start, seq, known uint64, fresh, moved bool) {
			t.Helper()
			if f, m := o.Accept(2, MessageID{start, seq}, known); f != fresh || m != moved {
				t.Errorf("window %d: %d/%d: %v %v", window, start, seq, f, m)
			}
		}
		take(50, 1, 0, true, false)
		take(50, 1, 0, false, false) // doubled
		take(50, 3, 100, true, false)
		take(50, 2, 100, late, false)  // overtaken
		take(50, 2, 100, false, false) // and doubled
		take(40, 9, 100, false, false) // of an earlier life
		take(50, 9, 100, true, false)
		take(50, 6, 100, late, false)
		take(50, 5, 100, false, false) // overtaken by too many
		take(51, 1, 100, true, false)  // started again
		take(50, 10, 100, false, false)
		if o.KnownStart(2) != 51 || o.KnownStart(3) != 0 {
			t.Errorf("known %d, %d", o.KnownStart(2), o.KnownStart(3))
		}
		// They know a later life of this gateway: its clock was set back. It moves past that, once.
		take(51, 2, 900, true, true)
		if n := o.NextID(); n.Start != 901 || n.Sequence != 1 {
			t.Errorf("%+v", n)
		}
		take(51, 3, 900, true, false)
		o.Retain(func(s uint8) bool { return s != 2 })
		take(1, 1, 0, true, false)
		take(1, 1<<40, 0, true, false)
		take(1, 2, 0, false, false)
	}
}

// Whatever the order of arrival, none counts twice, and none that at most 63 others have overtaken is missed.
func TestReplayGuardRandomOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		o := NewReplayGuard[string](1, 64)
		const n = 300
		due := make([][]uint64, n+64)
		for i := range n { // each arrives up to 60 places late, some twice
			at := i + rng.IntN(60)
			due[at] = append(due[at], uint64(i+1))
			if rng.IntN(4) == 0 {
				again := at + rng.IntN(4)
				due[again] = append(due[again], uint64(i+1))
			}
		}
		counted := map[uint64]int{}
		for _, now := range due {
			for _, seq := range now {
				if fresh, _ := o.Accept("a", MessageID{1, seq}, 0); fresh {
					counted[seq]++
				}
			}
		}
		for i := range uint64(n) {
			if counted[i+1] != 1 {
				t.Fatalf("message %d counted %d times", i+1, counted[i+1])
			}
		}
	}
}

func TestTrailer(t *testing.T) {
	a, b := Key{1, []byte("a secret of sixteen or more")}, Key{2, []byte("another secret, also long enough")}
	want := Trailer{Key: 1, Sender: 3, Receiver: 4, Start: 5, Sequence: 6, ReceiverStart: 7}
	all := Append([]byte("before message"), len("before "), want, "purpose", a)[len("before "):]
	if got, v := Parse(all, "purpose", []Key{b, a}); v != NoFault || got != want {
		t.Errorf("%v %+v", v, got)
	}
	for i := range len(all) * 8 {
		bad := bytes.Clone(all)
		bad[i/8] ^= 1 << (i % 8)
		if _, v := Parse(bad, "purpose", []Key{a, b}); v == NoFault {
			t.Errorf("bit %d flipped unnoticed", i)
		}
	}
	for _, c := range []struct {
		purpose string
		keys    []Key
		want    Fault
	}{{"other", []Key{a}, BadMAC}, {"purpose", []Key{b}, UnknownKey}, {"purpose", nil, UnknownKey}, {"purpose", []Key{{1, b.Secret}}, BadMAC}} {
		if _, v := Parse(all, c.purpose, c.keys); v != c.want {
			t.Errorf("%s %v: %v", c.purpose, c.keys, v)
		}
	}
}
