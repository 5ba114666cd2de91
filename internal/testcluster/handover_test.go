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

// soakSeeds names the variable that says how many seeds TestHandover plays; CI plays handoverSeeds.
const (
	soakSeeds     = "MARBLESPAN_SOAK_SEEDS"
	handoverSeeds = 3
)

// handoverScript is a schedule of handovers of the primary, with other faults beside them.
func handoverScript(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 0))
	beside := []string{
		"stop 1 for 300ms", "kill 2 for 200ms", "term 3 for 100ms", "sever 1 -> r2 for 400ms", "lag r1 1s for 600ms", "starve 2 50% for 500ms",
		"sever 3 -> p for 300ms", "drain r2 for 400ms", "sever 2 -> discovery for 700ms",
	}
	var script strings.Builder
	for i, at := 0, 400; at < 4500; i++ {
		next := [...]string{"r1", "r2", "p"}[i%3]
		without := 50 + rng.IntN(350) // time without a primary
		if i%2 == 0 {
			without += 700 // too long for most requests
		}
		fmt.Fprintf(&script, "at %dms handover %s for %dms\n", at, next, without)
		if rng.IntN(2) == 0 {
			fmt.Fprintf(&script, "at %dms %s\n", max(at+rng.IntN(400)-200, 0), beside[rng.IntN(len(beside))])
		}
		at += without + 300 + rng.IntN(300)
	}
	return script.String()
}

// linesAboutRequests are the lines of all gateways' logs that say why a request or an answer was not taken as it came.
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

// Seen in staging: reads of a class that must be current and must not run twice were refused after their server had answered them, in
// the moments in which a primary handed its role over; a refusal promises that nothing ran. How it came about: the primary took the
// read, became a replica, and finished it; its answer said "replica". The gateway rightly does not pass such an answer on, but took it
// for a server's proof that nothing had run, put the request back in its queue and refused it when its time was over; with a new
// primary in time it sent the read once more. What proved it: the gateways' log lines of just these requests (an attempt received as
// served, taken as misdirected, role replica), and that no other class of the load shows it.
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
			if seed%4 == 3 { // a crowd
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
