package indoubt

import (
	"testing"

	"marblespan/internal/modelcheck"
)

var (
	marked     = Policy{RepeatsMarked: true, Retention: 1000, MaxInFlight: 8}
	unmarked   = Policy{Retention: 1000, MaxInFlight: 8}
	storeFirst = Policy{RepeatsMarked: true, StoreBeforeReply: true, Retention: 1000, MaxInFlight: 8}
	withLookup = Policy{RepeatsMarked: true, HasLookup: true, Retention: 1000, MaxInFlight: 8}
)

var scenarios = []struct {
	name string
	model
}{
	{"a crash", model{policy: marked, budget: budget{repeats: 1, crashes: 1, shutdowns: 1}}},
	{"a crash, outcomes stored before the reply", model{policy: storeFirst, budget: budget{repeats: 1, crashes: 1}}},
	{"a crash, with a lookup", model{policy: withLookup, budget: budget{repeats: 1, crashes: 1, endReports: 1, failovers: 1}}},
	{"failed store calls", model{policy: marked, budget: budget{repeats: 1, failedCalls: 2}}},
	{"failed store calls, repeats not marked", model{policy: unmarked, budget: budget{repeats: 1, failedCalls: 2, shutdowns: 1}}},
	{"a pause and a wrong report that a gateway ended", model{policy: marked, budget: budget{repeats: 1, pauses: 1, endReports: 1}}},
	{"a pause, a wrong report that a gateway ended, and failed store calls", model{policy: withLookup, budget: budget{repeats: 1, pauses: 1, endReports: 1, failedCalls: 1}}},
	{"the store loses intents", model{policy: marked, budget: budget{repeats: 1, storeLosses: 1, crashes: 1}}},
	{"the store loses intents, repeats not marked", model{policy: unmarked, budget: budget{repeats: 1, storeLosses: 1}}},
	{"two repeats", model{policy: marked, budget: budget{repeats: 2, endReports: 1, failedCalls: 1}}},
}

// maxStates is the limit on the states of one exploration in CI.
const maxStates = 30_000

// TestExplore explores the orders of events between two gateways, the store, the server and a client that repeats its request. In
// every order the write runs at most once, each request gets exactly one answer, and no write that may have run is reported as
// unsent.
func TestExplore(t *testing.T) {
	for _, a := range scenarios {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			r := modelcheck.BreadthFirst[*world](a.model, modelcheck.Limits{MaxStates: maxStates / stateDivisor})
			if r.Counterexample != nil {
				t.Fatalf("%d states\n%v", r.States, r.Counterexample)
			}
			t.Logf("%d states, %d transitions, depth %d, complete: %v", r.States, r.Transitions, r.Depth, r.Complete)
		})
	}
}

// walksPerScenario is the number of random walks of each scenario in CI, and maxSteps the maximum length of a walk.
const (
	walksPerScenario = 600
	maxSteps         = 60
)

// TestWalks checks random walks, which reach greater depths than the breadth-first search of TestExplore.
func TestWalks(t *testing.T) {
	for _, a := range scenarios {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			moves := 0
			for seed := range uint64(walksPerScenario / stateDivisor) {
				made, broken := modelcheck.RandomWalk[*world](a.model, seed, maxSteps)
				if moves += made; broken != nil {
					t.Fatalf("seed %d\n%v", seed, broken)
				}
			}
			t.Logf("%d moves", moves)
		})
	}
}
