package maintenance

import (
	"errors"
	"strings"
	"testing"

	"marblespan/internal/modelcheck"
)

var wideLimits = func() Limits { l := testLimits; l.MaxGateways, l.MaxPerZone, l.MaxServers = 2, 2, 2; return l }()

var arrangements = []struct {
	name string
	model
}{
	{"two gateways", model{toRequest: []string{"a", "b"}, limits: testLimits, budget: eventBudget{crash: 1, leaderChange: 1, delay: 1}}},
	{"two places and shared shards", model{toRequest: []string{"a", "b", "c"}, limits: wideLimits, budget: eventBudget{staleStep: 2, duplicate: 1}}},
	{"both servers of a group", model{toRequest: []string{"r", "p"}, limits: wideLimits, budget: eventBudget{staleStep: 1, promote: 1}}},
	{"a server, a crash and a false suspicion", model{onlyReplica: true, toRequest: []string{"r"}, limits: testLimits, budget: eventBudget{crash: 1, falseSuspicion: 1}}},
	{"a server and a gateway that shuts down", model{onlyReplica: true, toRequest: []string{"r"}, limits: testLimits, budget: eventBudget{leave: 1}}},
	{"a server and a new leader", model{onlyReplica: true, toRequest: []string{"r"}, limits: testLimits, budget: eventBudget{leave: 1, leaderChange: 1, delay: 1}}},
	{"a gateway restarted while draining", model{toRequest: []string{"a"}, limits: testLimits, budget: eventBudget{restart: 1, leaderChange: 1, delay: 1}}},
	{"pause and cancel", model{toRequest: []string{"a"}, limits: testLimits, budget: eventBudget{pause: 1, cancel: 1, duplicate: 1, delay: 2}}},
	{"an operator's override", model{toRequest: []string{"r", "a"}, limits: testLimits, budget: eventBudget{override: 1, falseSuspicion: 1, crash: 1}}},
	{"everything", model{toRequest: []string{"a", "p", "b", "r"}, limits: wideLimits,
		budget: eventBudget{crash: 2, falseSuspicion: 2, leaderChange: 2, duplicate: 2, delay: 3, staleStep: 2, leave: 1, pause: 1, cancel: 1, promote: 2, restart: 1}}},
}

// maxStates limits the breadth-first search of each arrangement; the other constants set the size of the random walks.
const (
	maxStates           = 12_000
	walksPerArrangement = 150
	movesPerWalk        = 60
)

func TestModelCheck(t *testing.T) {
	for _, a := range arrangements {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			if r := modelcheck.BreadthFirst[*cluster](a.model, modelcheck.Limits{MaxStates: maxStates / reduction}); r.Counterexample != nil {
				t.Fatalf("%d states\n%v", r.States, r.Counterexample)
			}
		})
	}
}

// randomWalk makes random moves and then checks that the cluster can be repaired.
func randomWalk(m model, seed uint64) error {
	recorder := &recordingModel{model: m}
	if _, broken := modelcheck.RandomWalk[*cluster](recorder, seed, movesPerWalk); broken != nil {
		return errors.New(broken.String())
	}
	return m.repair(recorder.current.clone())
}

// recordingModel is a model that records the state that was checked last.
type recordingModel struct {
	model
	current *cluster
}

// Transitions repeats the moves that make progress, so that random walks choose them more often.
func (l *recordingModel) Transitions(w *cluster) []modelcheck.Transition[*cluster] {
	all := l.model.Transitions(w)
	for _, mv := range all {
		if strings.HasPrefix(mv.Name, "decide") && !strings.HasSuffix(mv.Name, "delayed") {
			all = append(all, mv, mv, mv, mv)
		}
		if strings.HasSuffix(mv.Name, "reports") || strings.HasSuffix(mv.Name, "applies the ledger") {
			all = append(all, mv)
		}
	}
	return all
}

func (l *recordingModel) CheckInvariant(w *cluster) error {
	l.current = w
	return l.model.CheckInvariant(w)
}

// TestRandomWalks reaches greater depths than the breadth-first search: no invariant may be violated, and after the cluster is
// repaired no machine may wait forever.
func TestRandomWalks(t *testing.T) {
	for _, a := range arrangements {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(walksPerArrangement / reduction) {
				if err := randomWalk(a.model, seed); err != nil {
					t.Fatalf("seed %d\n%v", seed, err)
				}
			}
		})
	}
}
