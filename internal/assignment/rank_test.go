package assignment

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"marblespan/internal/clock"
)

func members(n int) (all []Member) {
	for i := range n {
		all = append(all, Member{Name: fmt.Sprint("n", i), Weight: 1})
	}
	return all
}

// When a member leaves, only its own subjects move; the order of the other members does not change.
func TestLeavingMovesOnlyItsOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "members")
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		s := Subject{Key: rapid.String().Draw(t, "key")}
		all := members(n)
		before := ranking(all, s)
		after := ranking(append(all[:gone:gone], all[gone+1:]...), s)
		i := 0
		for _, name := range before {
			if name == fmt.Sprint("n", gone) {
				continue
			}
			if after[i] != name {
				t.Fatalf("%v became %v", before, after)
			}
			i++
		}
	})
}

// Shares are proportional to weights, and members of the subject's zone rank first.
func TestSharesAndZones(t *testing.T) {
	all := members(5)
	all[0].Weight = 4
	all[1].Zone, all[2].Zone = "a", "a"
	first := map[string]int{}
	const n = 8000
	for i := range n {
		first[ranking(all, Subject{Key: fmt.Sprint(i)})[0]]++
	}
	if share := float64(first["n0"]) / n; share < 0.46 || share > 0.54 {
		t.Errorf("a member of weight 4, with four others of weight 1, has a share of %.2f, want 0.50", share)
	}
	for i := range 100 {
		r := ranking(all, Subject{Key: fmt.Sprint(i), Zone: "a"})
		if r[0] != "n1" && r[0] != "n2" || r[1] != "n1" && r[1] != "n2" {
			t.Fatalf("ranking %v for a server in zone a, want n1 and n2 first", r)
		}
	}
}

// For any order of events, a gateway gets an assignment for each subject within the bound after the last run that it knows of.
// It never gets one while an assignment for the subject is running, or for a subject that was removed.
func TestSchedulerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config("n0", rapid.Uint64().Draw(t, "seed"))
		cfg.Assignees = rapid.IntRange(0, 2).Draw(t, "assignees")
		scheduler := New(cfg)
		keys := []string{"a", "b", "c"}
		now, started := clock.Micros(1), map[string]clock.Micros{}
		here, known := map[string]bool{}, map[string]clock.Micros{}
		do := func(ev Event) {
			for _, d := range scheduler.Handle(now, ev) {
				if _, out := started[d.Key]; out || !here[d.Key] {
					t.Fatalf("assigned %s: already running %v, known %v", d.Key, out, here[d.Key])
				}
				started[d.Key] = now
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			step := clock.Micros(rapid.SampledFrom([]int{0, 1, 20, 100, 400}).Draw(t, "gap")) * ms
			for end := now + step; ; { // the scheduler gets a Tick whenever one is due
				at, ok := scheduler.Next()
				if !ok || at > end {
					now = end
					break
				}
				now = max(now, at)
				do(Tick{})
			}
			key := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				var all []Subject
				for _, x := range keys {
					if rapid.Bool().Draw(t, "there") {
						all = append(all, Subject{Key: x})
						if !here[x] {
							known[x] = now
						}
						here[x] = true
					} else {
						delete(here, x)
						delete(started, x)
					}
				}
				do(SubjectsChanged{all})
			case 1:
				do(MembersChanged{members(rapid.IntRange(1, 9).Draw(t, "members"))})
			case 2, 3:
				if _, out := started[key]; out {
					delete(started, key)
					known[key] = now
					do(WorkDone{key, true})
				}
			case 4:
				age := clock.Micros(rapid.IntRange(0, 2000).Draw(t, "age")) * ms
				known[key] = max(known[key], now-age)
				do(WorkReported{Key: key, From: "n1", Age: age, Succeeded: true})
			case 5:
				do(WorkDemanded{key, "n2", clock.Micros(rapid.IntRange(0, 9000).Draw(t, "period")) * ms, 1000 * ms})
			}
			for x := range here {
				_, out := started[x]
				if bound := cfg.Gap(cfg.IdlePeriod) + 1; !out && now-known[x] > bound {
					t.Fatalf("no work was assigned for %s for %d ms", x, (now-known[x])/ms)
				}
			}
		}
	})
}
