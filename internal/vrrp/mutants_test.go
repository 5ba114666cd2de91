package vrrp

import (
	"testing"

	"marblespan/internal/clock"
	"marblespan/internal/modelcheck"
)

// Each of these mutants is wrong in one point. The model checker must find a counterexample for each; a mutant that is not
// caught shows that the invariants are too weak.
var mutants = []mutant{
	{name: "stays active although it is not ready", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if n, ok := ev.(HealthChanged); ok && !n.Health.Ready && m.state == Active {
			m.health = n.Health
			return nil
		}
		return ev
	}},
	{name: "stays active despite a higher priority", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(AdvertisementReceived); ok && m.state == Active && h.Priority > m.Priority() {
			return nil
		}
		return ev
	}},
	{name: "stays active despite an equal priority", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(AdvertisementReceived); ok && m.state == Active && h.Priority == m.Priority() {
			return nil
		}
		return ev
	}},
	{name: "does not answer a lower priority", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(AdvertisementReceived); ok && m.state == Active && h.Priority < m.Priority() {
			return nil
		}
		return ev
	}},
	{name: "acts on its old state after a pause", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if m.state == Active {
			m.lastHandled, m.lastSent = now, now
		}
		return ev
	}},
	{name: "takes over after a pause before reading its messages", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if m.state == Backup && now >= m.timerDue() {
			m.lastHandled, m.timer = now, now
		}
		return ev
	}},
	{name: "follows any release", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(AdvertisementReceived); ok && m.state == Backup && h.Priority == PriorityRelease {
			m.activeRouter.from, m.otherRouter = h.From, remoteRouter{}
		}
		return ev
	}},
	{name: "follows the router that advertised last", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if _, ok := ev.(AdvertisementReceived); ok && m.state == Backup {
			m.activeRouter.receivedAt -= 4 * interval
		}
		return ev
	}},
	{name: "forgets the other router", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		m.otherRouter = remoteRouter{}
		return out
	}},
	{name: "never takes over", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		if m.state == Backup {
			m.timer = now + 9*interval
		}
		return out
	}},
	{name: "waits only two intervals", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		if m.state == Backup {
			m.timer = min(m.timer, now+2*interval)
		}
		return out
	}},
	{name: "ignores advertisements while it is a backup", before: func(m *Machine, now clock.Micros, ev Event) Event {
		if h, ok := ev.(AdvertisementReceived); ok && m.state == Backup && h.Priority != PriorityRelease && m.health.Ready {
			return nil
		}
		return ev
	}},
	{name: "accepts requests after its lease has expired", mayTakeRequests: func(m *Machine, now clock.Micros) bool {
		return m.state == Active
	}},
	{name: "becomes active although it is not ready", after: func(m *Machine, now clock.Micros, out []Action) []Action {
		if m.state == Backup && !m.health.Ready && now >= m.timer {
			return m.becomeActive(now, CauseActiveDown, out)
		}
		return out
	}},
}

func TestMutantsAreCaught(t *testing.T) {
	if statesDivisor > 1 {
		t.Skip("makes the same runs as without the race detector, but many times slower")
	}
	for _, mut := range mutants {
		t.Run(mut.name, func(t *testing.T) {
			t.Parallel()
			for _, s := range scenarios {
				if res := modelcheck.BreadthFirst(s.world(&mut), modelcheck.Limits{MaxStates: maxStates}); res.Counterexample != nil {
					t.Logf("caught by %q after %d states: %v", s.name, res.States, res.Counterexample.Err)
					return
				}
			}
			t.Error("not caught")
		})
	}
}
