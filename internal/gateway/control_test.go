package gateway

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marblespan/internal/config"
	"marblespan/internal/indoubt"
	"marblespan/internal/intents"
	"marblespan/internal/maintenance"
	"marblespan/internal/membership"
	"marblespan/internal/vrrp"
)

// The golden files in testdata hold operators' questions and their answers. They change only if the answers are meant to change;
// "go test ./internal/gateway -run Golden -update" then rewrites them.
var update = flag.Bool("update", false, "rewrite the golden files")

// compareGolden compares a text with a golden file in testdata.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs. Got:\n%s\nwant:\n%s", path, got, want)
	}
}

// fakeStore is a Store that records the last call. The tests do not call the methods that it lacks.
type fakeStore struct {
	Store
	lastCall string
}

func (s *fakeStore) Status() StateStoreStatus { return StateStoreStatus{Node: "gw-1"} }

func (s *fakeStore) Bootstrap(shards, voters int, first bool) error {
	s.lastCall = fmt.Sprintf("found %d shards, %d copies, first %v", shards, voters, first)
	return nil
}

func (s *fakeStore) RemoveStore(node string) error {
	s.lastCall = "gone " + node
	return nil
}

func (s *fakeStore) ResetShard(shard uint32) error {
	s.lastCall = fmt.Sprint("anew ", shard)
	return errors.New("the ledger is led elsewhere")
}

func (s *fakeStore) RunMaintenanceCommand(c maintenance.Command, _ time.Time) (string, error) {
	s.lastCall = fmt.Sprintf("verb %d by %s", c.Verb, c.RequestedBy)
	return "it is so", nil
}

// MaintenanceListing returns an order with a machine in each state, and one that is overdue.
func (s *fakeStore) MaintenanceListing(time.Time) (maintenance.Listing, error) {
	order := &maintenance.Order{Paused: true}
	for state := range maintenance.States {
		order.Machines = append(order.Machines, maintenance.Machine{
			ID: uint64(state) + 1, Kind: maintenance.Kind(state) % maintenance.Kinds, Name: fmt.Sprint("m-", state), State: state, Since: 1_000_000, Duration: 60_000_000,
		})
	}
	order.Machines = append(order.Machines, maintenance.Machine{ID: 99, Name: "late", State: maintenance.Out, Overdue: true})
	return maintenance.Listing{Order: order, Waits: maintenance.Waits{1: "its turn"}, Leader: "gw-2", Now: 3_000_000}, nil
}

// fakeResolver is a resolver with a write in flight in each state. The tests do not call the methods that it lacks.
type fakeResolver struct{ intents.Resolver }

func (fakeResolver) InFlight() (all []indoubt.InFlightWrite) {
	for state := range indoubt.States {
		all = append(all, indoubt.InFlightWrite{
			Key: "0123456789abcdef", RequestID: "r-1", Class: "order", Phase: "claiming", Age: 5000,
			Intent: indoubt.Intent{State: state, Owner: "gw-1", Server: "s-1", ClaimCount: 2},
		})
	}
	return all
}

func (fakeResolver) TransitionCount(n indoubt.Transition) int64 { return int64(n) + 1 }

// The answers to all questions on the control socket, including those with errors, match the golden files. The questions are
// asked of a gateway with all sections except those that need sockets, and of a gateway with none.
func TestQuestionsGolden(t *testing.T) {
	store := &fakeStore{}
	allSections := &Gateway{
		store: store, intents: fakeResolver{}, maintenance: &maintenanceAgent{},
		operators: &config.Operators{
			Members: &config.Members{Node: "gw-1"}, StateStore: &config.StateStore{Shards: 16, Voters: 3}, Maintenance: &config.Maintenance{DefaultDuration: 20 * time.Minute},
		},
	}
	for _, c := range []struct {
		name      string
		gateway   *Gateway
		questions []string
	}{
		{"no-sections", &Gateway{}, []string{"members", "members streams", "vrrp status", "copies", "intents", "maintain", "", "how"}},
		{"all-sections", allSections, []string{
			"copies", "copies found", "copies found first", `copies gone "gw-2"`, "copies gone gw-2", "copies anew 3", "copies anew x", "copies how",
			"intents",
			"maintain", "maintain hold", "maintain go", "maintain add x", "maintain done x", "maintain drop x", "maintain go x",
			`maintain add "gw-1" 5y`, `maintain add "gw-1" 5m why`, "maintain how",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var all strings.Builder
			for _, question := range c.questions {
				store.lastCall = ""
				answer, err := c.gateway.answerQuestion(question)
				if err != nil {
					answer = map[string]string{"error": err.Error()}
				}
				raw, err := json.MarshalIndent(answer, "", "  ")
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&all, "question: %s\nanswer: %s\nthe store was told: %s\n\n", question, raw, store.lastCall)
			}
			compareGolden(t, c.name+".txt", all.String())
		})
	}
}

// The names of states and conditions in answers match the golden file.
func TestWordsGolden(t *testing.T) {
	var all strings.Builder
	for state := range membership.StateCount {
		fmt.Fprintln(&all, "members state:", state)
	}
	for _, state := range []vrrp.State{vrrp.Initialize, vrrp.Backup, vrrp.Active} {
		fmt.Fprintln(&all, "vrrp state:", state)
	}
	for _, condition := range vrrp.ConditionNames {
		fmt.Fprintln(&all, "vrrp wrong:", condition)
	}
	compareGolden(t, "words.txt", all.String())
}
