package members

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marblespan/internal/clock"
)

// newStartedWorld starts n gateways within a second and checks that all of them know each other 7 s later.
func newStartedWorld(t *testing.T, n int, seed uint64) *World {
	t.Helper()
	w := NewWorld(n, seed, SWIM(Second/5, false))
	for i := range n {
		w.Schedule(clock.Micros(w.rng.Int64N(int64(Second))), func() { w.Start(i) })
	}
	if w.RunUntil(8 * Second); w.WrongBeliefs() > 0 {
		t.Fatalf("%d beliefs are wrong 7 s after the last start", w.WrongBeliefs())
	}
	return w
}

// split cuts the network into parts. parts returns a bit set of the parts that a gateway belongs to.
func (w *World) split(parts func(i int) int) {
	w.IsCut = func(a, b int) bool { return parts(a)&parts(b) == 0 }
}

// TestHardCases checks that no running member is declared dead during a fault, except where false deaths are expected, and that a given
// time after the fault every member knows which other members run.
func TestHardCases(t *testing.T) {
	const n = 60
	for _, c := range []struct {
		name     string
		begin    func(w *World)
		duration clock.Micros // how long the fault lasts
		after    clock.Micros // time after the fault at which all beliefs must be right
		dies     bool         // false deaths are expected
	}{
		{"nothing", func(w *World) {}, 0, 0, false},
		{"one killed", func(w *World) { w.Kill(7) }, 0, 2 * Second, false},
		{"46 % killed", func(w *World) {
			for i := range n * 46 / 100 {
				w.Kill(i * 2)
			}
		}, 0, 4 * Second, false},
		{"killed and started again at once", func(w *World) { w.Kill(7); w.Start(7) }, 0, 2 * Second, false},
		{"pauses of 1 s of a third together", func(w *World) {
			for i := range n / 3 {
				w.Pause(i, Second)
			}
		}, Second, Second, false},
		{"a pause of 5 s", func(w *World) { w.Pause(3, 5*Second) }, 5 * Second, 3 * Second, true},
		{"a starved fifth", func(w *World) {
			for i := range n / 5 {
				w.Starve(i*5, 0.9)
			}
		}, 20 * Second, 0, false},
		{"30 % lost", func(w *World) { w.Network.LossRate = 0.3 }, 30 * Second, Second, false},
		{"a delay of up to 1 s and 30 % lost", func(w *World) { w.Network.LossRate, w.Network.Jitter = 0.3, Second }, 6 * Second, 10 * Second, true},
		{"one-way cuts of a twentieth of the pairs", func(w *World) {
			w.IsCut = func(a, b int) bool { return (a*31+b*17)%20 == 0 && a < b }
		}, 20 * Second, 0, false},
		{"one cannot send", func(w *World) { w.IsCut = func(a, b int) bool { return a == 4 } }, 6 * Second, 6 * Second, true},
		{"one cannot receive", func(w *World) { w.IsCut = func(a, b int) bool { return b == 4 } }, 6 * Second, 6 * Second, true},
		{"two halves", func(w *World) { w.split(func(i int) int { return 1 << (i % 2) }) }, 60 * Second, 12 * Second, true},
		{"three parts, and one gateway in two of them", func(w *World) {
			w.split(func(i int) int {
				if i == 0 {
					return 3
				}
				return 1 << (i % 3)
			})
		}, 20 * Second, 12 * Second, true},
		{"one joins and leaves in a loop", func(w *World) {
			for k := range clock.Micros(10) {
				w.Schedule(w.Now+2*k*Second, func() { w.deliver(9, leaveRequest, 0) })
				w.Schedule(w.Now+(2*k+1)*Second, func() { w.Start(9) })
			}
		}, 20 * Second, 3 * Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newStartedWorld(t, n, 5)
			died := 0
			w.beliefChanged = func(observer, subject int, alive bool) {
				if !alive && w.Running(subject) && w.nodes[observer].localDetector.(*swimDetector).dead(subject) {
					died++
				}
			}
			c.begin(w)
			w.RunUntil(w.Now + c.duration)
			w.Network, w.IsCut = NewWorld(0, 0, Detector{}).Network, nil
			w.RunUntil(w.Now + c.after)
			if n := w.WrongBeliefs(); n > 0 {
				t.Errorf("%d beliefs are wrong", n)
			}
			if died > 0 && !c.dies {
				t.Errorf("%d false deaths", died)
			}
			t.Logf("%d false deaths", died)
		})
	}
}

// TestMeasure checks that Run measures all three detectors, and that Write writes the tables and the chart.
func TestMeasure(t *testing.T) {
	o := Defaults()
	o.Members, o.Kills, o.MassFailures, o.FaultDuration, o.BaselineFaultDuration, o.IdleMembers = 12, 2, 1, 5*Second, 2*Second, []int{3, 12}
	results, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.UndetectedKills > 0 || r.FirstDetection.Millis(100) > r.CompleteDetection.Millis(100) || r.CompleteDetection.Millis(50) < 500 || r.IdleBytesPerSecond[1] == 0 {
			t.Errorf("%+v", r)
		}
	}
	if ours := results[0]; ours.CompleteDetection.Millis(100) > 4000 || ours.IdleBytesPerSecond[1] > 4096 || ours.FalseDeaths[0]+ours.FalseDeaths[1]+ours.FalseDeaths[2]+ours.FalseDeaths[3] > 0 {
		t.Errorf("%+v", ours)
	}
	var b strings.Builder
	dir := t.TempDir()
	if err := Write(&b, dir, o, results, nil); err != nil || strings.Count(b.String(), "| heartbeats ") != 3 {
		t.Errorf("%v\n%s", err, &b)
	}
	if svg, err := os.ReadFile(filepath.Join(dir, "members.svg")); err != nil || !strings.Contains(string(svg), "From a kill until all members have detected it") {
		t.Errorf("the chart: %v", err)
	}
}
