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
	{"a pause, and a wrong report of an end", model{policy: marked, budget: budget{repeats: 1, pauses: 1, endReports: 1}}},
	{"a pause, a wrong report of an end and failed store calls", model{policy: withLookup, budget: budget{repeats: 1, pauses: 1, endReports: 1, failedCalls: 1}}},
	{"the store loses intents", model{policy: marked, budget: budget{repeats: 1, storeLosses: 1, crashes: 1}}},
	{"the store loses intents, repeats not marked", model{policy: unmarked, budget: budget{repeats: 1, storeLosses: 1}}},
	{"two repeats", model{policy: marked, budget: budget{repeats: 2, endReports: 1, failedCalls: 1}}},
}

// maxStates bounds an exploration in CI.
const maxStates = 30_000

// Whatever the order of events between two gateways, the store, the server and a client that repeats its request: the write runs
// at most once, each request gets one answer, and nothing that may have run is reported unsent.
func TestExplore(t *testing.T) {
	for _, a := range scenarios {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			r := modelcheck.BreadthFirst[*world](a.model, modelcheck.Limits{MaxStates: maxStates / stateDivisor})
			if r.Counterexample != nil {
				t.Fatalf("%d states\n%v", r.States, r.Counterexample)
			}
			t.Logf("%d states, %d moves, depth %d, whole: %v", r.States, r.Transitions, r.Depth, r.Complete)
		})
	}
}

// walksPerScenario is how many random walks of each scenario are made in CI, and maxSteps how long they are at most.
const (
	walksPerScenario = 600
	maxSteps         = 60
)

// Random walks reach depths that the search of all states does not.
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
