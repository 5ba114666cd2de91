package testcluster

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// soakSeeds is the environment variable with the number of seeds that TestHandover runs. Without it, as in CI, the test runs
// handoverSeeds.
const (
	soakSeeds     = "MARBLESPAN_SOAK_SEEDS"
	handoverSeeds = 3
)

// handoverScript returns a script of handovers of the primary, with other faults in between.
func handoverScript(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 0))
	otherFaults := []string{
		"stop 1 for 300ms", "kill 2 for 200ms", "term 3 for 100ms", "sever 1 -> r2 for 400ms", "lag r1 1s for 600ms", "starve 2 50% for 500ms",
		"sever 3 -> p for 300ms", "drain r2 for 400ms", "sever 2 -> discovery for 700ms",
	}
	var script strings.Builder
	for i, at := 0, 400; at < 4500; i++ {
		next := [...]string{"r1", "r2", "p"}[i%3]
		without := 50 + rng.IntN(350) // milliseconds without a primary
		if i%2 == 0 {
			without += 700 // longer than most requests can wait
		}
		fmt.Fprintf(&script, "at %dms handover %s for %dms\n", at, next, without)
		if rng.IntN(2) == 0 {
			fmt.Fprintf(&script, "at %dms %s\n", max(at+rng.IntN(400)-200, 0), otherFaults[rng.IntN(len(otherFaults))])
		}
		at += without + 300 + rng.IntN(300)
	}
	return script.String()
}

// linesAboutRequests returns the lines of all gateways' logs that explain why a request was not served or an answer was not used.
func linesAboutRequests(t *testing.T, dir string) string {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "n*", "log"))
	if err != nil {
		t.Fatal(err)
	}
	var found strings.Builder
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"request not served"`) || strings.Contains(line, `"answer not used"`) || strings.Contains(line, "primary") {
				found.WriteString(line)
			}
		}
	}
	return found.String()
}

// A read that must be current and must not run twice must not be rejected after it ran, because a rejection promises that it did not
// run. In staging, this failed during handovers of the primary: the primary received the read, became a replica, finished the read and
// answered with its new role. The gateway must not pass on such an answer, but it took the answer as proof that the read had not run.
// So it queued the read again and either sent it a second time, if a new primary was known in time, or rejected it at its deadline.
// Only this class was affected. The gateways' log showed an attempt that was received as served and then counted as misdirected, with
// the role replica.
func TestHandover(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv(soakSeeds))
	if seeds == 0 {
		seeds = handoverSeeds
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			script := handoverScript(seed)
			faults, err := ParseScript("handovers", script)
			if err != nil {
				t.Fatal(err)
			}
			o, load := options(), DefaultLoad()
			o.Seed, o.ServiceTime, o.Dir = seed+1, 30*time.Millisecond, t.TempDir()
			load.QuoteReaders = 6
			if seed%4 == 3 { // many concurrent readers
				load.QuoteReaders, load.SeatReaders, load.Viewers = 40, 20, 40
			}
			out := Run(o, load, faults, nil)
			if out.Err != nil {
				t.Error(out.Err)
			}
			for _, v := range out.Violations {
				t.Error(v)
			}
			if t.Failed() {
				t.Logf("%s\n%s", script, linesAboutRequests(t, o.Dir))
			}
			quotes := map[string]int{}
			for _, e := range out.Events {
				if e.Kind == ResponseReceived && e.Class == ClassQuote {
					quotes[e.What]++
				}
			}
			if quotes[EndServed] == 0 {
				t.Errorf("no quote was served: %v", quotes)
			}
			t.Logf("%v, %+v", quotes, out.Totals)
		})
	}
}
