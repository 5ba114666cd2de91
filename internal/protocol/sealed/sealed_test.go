package sealed

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

func TestReplayGuard(t *testing.T) {
	for _, window := range []uint64{0, 4} {
		late := window > 0 // whether a message that was overtaken is accepted
		guard := NewReplayGuard[uint8](100, window)
		accept := func(start, seq, known uint64, fresh, startAdvanced bool) {
			t.Helper()
			if f, m := guard.Accept(2, MessageID{start, seq}, known); f != fresh || m != startAdvanced {
				t.Errorf("window %d, message %d/%d: got fresh %v, startAdvanced %v, want %v, %v", window, start, seq, f, m, fresh, startAdvanced)
			}
		}
		accept(50, 1, 0, true, false)
		accept(50, 1, 0, false, false) // a duplicate
		accept(50, 3, 100, true, false)
		accept(50, 2, 100, late, false)  // overtaken
		accept(50, 2, 100, false, false) // and a duplicate
		accept(40, 9, 100, false, false) // from before a restart
		accept(50, 9, 100, true, false)
		accept(50, 6, 100, late, false)
		accept(50, 5, 100, false, false) // overtaken by too many messages
		accept(51, 1, 100, true, false)  // a restart
		accept(50, 10, 100, false, false)
		if guard.KnownStart(2) != 51 || guard.KnownStart(3) != 0 {
			t.Errorf("got known starts %d, %d, want 51, 0", guard.KnownStart(2), guard.KnownStart(3))
		}
		// The sender knows a later start of this gateway, whose clock was set back: the guard changes to a start after that one, once.
		accept(51, 2, 900, true, true)
		if n := guard.NextID(); n.Start != 901 || n.Sequence != 1 {
			t.Errorf("got ID %+v, want 901/1", n)
		}
		accept(51, 3, 900, true, false)
		guard.Retain(func(s uint8) bool { return s != 2 })
		accept(1, 1, 0, true, false)
		accept(1, 1<<40, 0, true, false)
		accept(1, 2, 0, false, false)
	}
}

// Messages may arrive in any order: none is accepted twice, and none that at most 63 others have overtaken is rejected.
func TestReplayGuardRandomOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		guard := NewReplayGuard[string](1, 64)
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
		accepted := map[uint64]int{}
		for _, now := range due {
			for _, seq := range now {
				if fresh, _ := guard.Accept("a", MessageID{1, seq}, 0); fresh {
					accepted[seq]++
				}
			}
		}
		for i := range uint64(n) {
			if accepted[i+1] != 1 {
				t.Fatalf("message %d was accepted %d times, want 1", i+1, accepted[i+1])
			}
		}
	}
}

func TestTrailer(t *testing.T) {
	a, b := Key{1, []byte("a secret of sixteen or more")}, Key{2, []byte("another secret, also long enough")}
	want := Trailer{Key: 1, Sender: 3, Receiver: 4, Start: 5, Sequence: 6, ReceiverStart: 7}
	all := Append([]byte("before message"), len("before "), want, "purpose", a)[len("before "):]
	if got, v := Parse(all, "purpose", []Key{b, a}); v != NoFault || got != want {
		t.Errorf("got %v, %+v, want %+v", v, got, want)
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
			t.Errorf("purpose %s, keys %v: got %v, want %v", c.purpose, c.keys, v, c.want)
		}
	}
}
