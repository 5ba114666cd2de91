package policy_test

import (
	"fmt"
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// The result of an attempt and the effect of the class decide whether a request is retried, rejected or failed.
func TestRetryTable(t *testing.T) {
	const again, reject, fail = "again", "reject", "fail"
	ran := []policy.Result{policy.ResultError, policy.ResultTimeout, policy.ResultReset, policy.ResultCancelled}
	notRan := []policy.Result{policy.ResultOverloaded, policy.ResultConnectFailed, policy.ResultMisdirected}
	for _, c := range []struct {
		class   int
		results []policy.Result
		wait    clock.Micros
		want    string
	}{
		{anyRead, ran, 10 * ms, again},
		{anyRead, notRan, 10 * ms, again},
		{nonIdempotentWrite, ran, 10 * ms, fail},
		{nonIdempotentWrite, notRan, 10 * ms, again},
	} {
		for _, res := range c.results {
			t.Run(fmt.Sprint(c.class, "/", res, "/", c.wait), func(t *testing.T) {
				g := newGateway(t, settings())
				g.group(3)
				g.reportPosition(1, 0)
				first := sent(g.arrive("q", c.class), "q")[0]
				g.after(c.wait).outcome("q", 0, first, res)
				acts := append([]policy.Action(nil), g.acts...)
				// A report shows the next primary, so that a waiting write can be sent.
				g.after(ms).reportHealth(2, policy.RolePrimary, g.now)
				acts = append(acts, g.acts...)
				acts = append(acts, g.sweep(260*ms)...)
				got := ending(acts, "q")
				if got == "" && len(sent(acts, "q")) == 1 {
					got = again
				}
				if got != c.want {
					t.Errorf("got %q, want %q (%v)", got, c.want, acts)
				}
			})
		}
	}
}

func TestAttemptsAreCounted(t *testing.T) {
	set := settings()
	set.MaxAttempts = 3
	g := newGateway(t, set)
	g.group(8)
	acts := g.arrive("q", anyRead)
	for i := range 3 {
		got := sent(acts, "q")
		if len(got) != 1 {
			t.Fatalf("attempt %d: sent to %v", i, got)
		}
		acts = g.outcome("q", i, got[0], policy.ResultConnectFailed)
	}
	g.wantEnd("q", "reject")
}

// Errors everywhere must not multiply the load: retries of attempts that may have run are bounded by a budget.
func TestRetryBudget(t *testing.T) {
	g := newGateway(t, settings())
	g.group(5)
	first, more := 0, 0
	for i := range 400 {
		id := fmt.Sprint("q", i)
		acts := g.after(10*ms).arrive(id, anyRead)
		first++
		for n := 0; ; n++ {
			got := sent(acts, id)
			if len(got) == 0 {
				break
			}
			if n > 0 {
				more++
			}
			acts = g.outcome(id, n, got[0], policy.ResultError)
		}
	}
	if more == 0 || more > first/5+10 {
		t.Errorf("%d retries of %d requests", more, first)
	}
}
