package floatingip

import (
	"marblespan/internal/vrrp"
)

// Status is the state of one group, as `marblespan vrrp status` shows it. Operators' tools read the JSON keys.
type Status struct {
	Group              string   `json:"group"`
	VRID               uint8    `json:"vrid"`
	Addresses          []string `json:"addresses"`
	State              string   `json:"state"`
	StateDurationMS    int64    `json:"for_ms"`
	Priority           uint8    `json:"priority"`
	ConfiguredPriority uint8    `json:"priority_of_settings"`
	Ready              bool     `json:"ready"`
	FailedConditions   []string `json:"wrong"`
	ActiveRouter       string   `json:"holder,omitempty"`
	Activation         uint32   `json:"tenure"`
	PreemptBlockedMS   int64    `json:"held_back_ms"`
}

// Status returns the state of every group, or nil once the router is closed.
func (r *VRRPRouter) Status() (all []Status) {
	r.runOnLoop(func() {
		now := r.clock.Now()
		for _, g := range r.groups {
			m := &g.machine
			st := Status{
				Group: g.Name, VRID: g.Machine.VRID, State: m.State().String(), StateDurationMS: int64(now-m.Since()) / 1000,
				Priority: m.Priority(), ConfiguredPriority: g.Machine.Priority, Ready: m.Ready(), Activation: m.Activation(), FailedConditions: []string{},
				PreemptBlockedMS: int64(max(m.PreemptBlockedUntil()-now, 0)) / 1000,
			}
			for _, a := range g.Addresses {
				st.Addresses = append(st.Addresses, a.String())
			}
			for c, wrong := range r.lastHealth.Conditions {
				if wrong {
					st.FailedConditions = append(st.FailedConditions, vrrp.ConditionNames[c])
				}
			}
			if m.State() == vrrp.Backup && m.ActiveRouter().IsValid() {
				st.ActiveRouter = m.ActiveRouter().String()
			}
			all = append(all, st)
		}
	})
	return all
}
