package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/policy"
)

func TestQuickErrorsAreEjected(t *testing.T) {
	g := newGateway(t, settings())
	g.group(4)
	tries := 0
	for i := range 400 {
		tries += g.after(5*ms).readWithFaultyServer(fmt.Sprint("q", i), 2, policy.ResultError)
		g.sweep(0)
	}
	if tries < 5 || tries > 40 {
		t.Errorf("%d attempts at the failing server, want 5 to 40", tries)
	}
}

// Replicas stay in use if all of them fail, because ejection never empties a group.
func TestEjectionNeverEmptiesAGroup(t *testing.T) {
	set := settings()
	g := newGateway(t, set)
	g.step(policy.EndpointUpdate{Form: policy.ListCached, Endpoints: []policy.Endpoint{endpoint(2, false), endpoint(3, false)}})
	for i := range 60 {
		id := fmt.Sprint("q", i)
		got := sent(g.after(100*ms).arrive(id, anyRead), id)
		if len(got) != 1 {
			t.Fatalf("%s sent to %v", id, got)
		}
		g.outcome(id, 0, got[0], policy.ResultError)
		g.step(policy.ClientDisconnected{ID: id})
	}
}
