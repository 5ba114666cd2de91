package failover

import (
	"slices"
	"time"

	"marblespan/internal/fake"
	"marblespan/internal/testcluster"
)

// holderChange is one report of a gateway that it has started or stopped holding the address.
type holderChange struct {
	node   int
	at     time.Time
	active bool
}

// changesSince returns the changes that happened at or after the time from. The end of a gateway's process is also such a change,
// because the gateway then no longer holds the address.
func changesSince(h *testcluster.History, from time.Time) (out []holderChange) {
	for _, e := range h.Events() {
		if e.At >= h.Timestamp(from) && (e.Kind == testcluster.StateReported || e.Kind == testcluster.ProcessChanged && e.What == "ended") {
			out = append(out, holderChange{e.Node, h.WallTime(e.At), e.Kind == testcluster.StateReported && e.Text == "active"})
		}
	}
	return out
}

// durationOf returns the total time, in microseconds, for which the function holds returned true between two times. The argument
// active of holds is the number of gateways that hold the address and can be reached; the argument running is the number of
// gateways that hold the address and whose process runs. durationOf assumes that gateway 1 is active at the start of a trial.
func durationOf(changes []holderChange, from, to time.Time, holds func(active, running int) bool, unreachable, runs func(int, time.Time) bool) int64 {
	slices.SortStableFunc(changes, func(a, b holderChange) int { return a.at.Compare(b.at) })
	// The counts may change at each change of a gateway, and at the ends of the period, where a gateway may become unreachable or
	// reachable again.
	moments := []time.Time{from, to}
	for _, c := range changes {
		if c.at.After(from) && c.at.Before(to) {
			moments = append(moments, c.at)
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	sum := time.Duration(0)
	for i := 1; i < len(moments); i++ {
		active, running := 0, 0
		for node, on := range activeAt(changes, moments[i-1]) {
			if on && !unreachable(node, moments[i-1]) {
				active++
			}
			if on && runs(node, moments[i-1]) {
				running++
			}
		}
		if holds(active, running) {
			sum += moments[i].Sub(moments[i-1])
		}
	}
	return sum.Microseconds()
}

// activeAt returns which gateways hold the address at a time, by gateway number.
func activeAt(changes []holderChange, at time.Time) map[int]bool {
	active := map[int]bool{1: true}
	for _, c := range changes {
		if !c.at.After(at) {
			active[c.node] = c.active
		}
	}
	return active
}

// longestWait returns the longest time that any client waited for its next served booking around a fault, in microseconds.
func longestWait(served []fake.ClientEvent, from, to time.Time) int64 {
	last := map[string]time.Time{}
	longest := time.Duration(0)
	for _, m := range served {
		if m.At.After(to.Add(time.Second)) {
			break
		}
		if before, ok := last[m.Client]; ok && m.At.After(from) {
			longest = max(longest, m.At.Sub(before))
		}
		last[m.Client] = m.At
	}
	for _, at := range last {
		longest = max(longest, to.Sub(at))
	}
	return longest.Microseconds()
}
