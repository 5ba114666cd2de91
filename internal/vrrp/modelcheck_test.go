package vrrp

import (
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/modelcheck"
)

// scenario is a set of routers of one virtual router, with the faults that may happen to them.
type scenario struct {
	name         string
	priorities   []uint8
	preempt      bool
	preemptDelay clock.Micros
	damping      Damping
	faults       modelcheck.Faults
	until        int64
	strict       bool
}

var scenarios = []scenario{
	{"two, not preempting: a pause and a duplicate", []uint8{200, 100}, false, 0, Damping{},
		modelcheck.Faults{Pause: 1, Duplicate: 1}, 0, true},
	{"two: a loss and a delay", []uint8{200, 100}, true, 0, Damping{}, modelcheck.Faults{Lose: 1, Delay: 1}, 0, false},
	{"two: six losses", []uint8{200, 100}, true, 0, Damping{}, modelcheck.Faults{Lose: 6}, 0, false},
	{"two: a duplicate and a delay", []uint8{200, 100}, true, 0, Damping{}, modelcheck.Faults{Duplicate: 1, Delay: 1}, 0, false},
	{"two: a pause and a change of readiness", []uint8{200, 100}, true, 0, Damping{}, modelcheck.Faults{Pause: 1, EnvironmentChange: 1}, 0, false},
	{"two: a pause and a crash", []uint8{200, 100}, true, 0, Damping{}, modelcheck.Faults{Pause: 1, Crash: 1}, 0, false},
	{"two of equal priority, not preempting: two pauses", []uint8{100, 100}, false, 0, Damping{}, modelcheck.Faults{Pause: 2}, 0, false},
	{"two of equal priority: a delay and changes of readiness", []uint8{100, 100}, true, 0, Damping{}, modelcheck.Faults{Delay: 1, EnvironmentChange: 2}, 0, false},
	{"two with preempt delay and damping: two delays", []uint8{200, 199}, true, 2 * interval, Damping{4 * interval, interval, 4 * interval},
		modelcheck.Faults{Delay: 2}, 16 * interval, false},
	{"three: a crash and a change of readiness", []uint8{200, 150, 100}, true, 0, Damping{}, modelcheck.Faults{Crash: 1, EnvironmentChange: 1}, 0, false},
	{"three of equal priority: a pause", []uint8{100, 100, 100}, false, 0, Damping{}, modelcheck.Faults{Pause: 1}, 0, false},
	{"three: a loss and a change of readiness", []uint8{200, 150, 100}, true, 0, Damping{}, modelcheck.Faults{Lose: 1, EnvironmentChange: 1}, 0, false},
	{"three: a delay and a change of readiness", []uint8{200, 150, 100}, false, 0, Damping{}, modelcheck.Faults{Delay: 1, EnvironmentChange: 1}, 0, false},
}

func (s scenario) world(mut *mutant) *modelcheck.World {
	w := &modelcheck.World{
		MaxDelay: delay, ExtraDelay: 5 * interval, PauseDurations: []int64{interval, 5 * interval}, RestartDelay: 2 * interval, Faults: s.faults,
		InOrder: true, Horizon: s.until, EnvironmentChanges: readinessChanges, History: recordNeedlessTakeover,
	}
	w.FaultFreeWindow = int64(6*interval + s.damping.MaxDelay + s.preemptDelay)
	w.Invariant = invariant(s.faults, w.FaultFreeWindow, s.strict)
	for i, p := range s.priorities {
		w.Nodes = append(w.Nodes, node{
			id: i, nodes: len(s.priorities), mutant: mut,
			cfg: Config{
				VRID: 1, Priority: p, AdvertisementInterval: interval, Preempt: s.preempt, PreemptDelay: s.preemptDelay,
				LocalAddress: addr(i), Damping: s.damping,
			},
		})
	}
	return w
}

// maxStates limits one exploration. Only the scenarios with three routers reach it.
const maxStates = 60_000

func TestExplore(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			res := modelcheck.BreadthFirst(s.world(nil), modelcheck.Limits{MaxStates: maxStates / statesDivisor})
			t.Logf("%d states, %d transitions, depth %d, complete: %v", res.States, res.Transitions, res.Depth, res.Complete)
			if res.Counterexample != nil {
				t.Error(res.Counterexample)
			}
		})
	}
}
