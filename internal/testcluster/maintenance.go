package testcluster

import (
	"fmt"
	"os/exec"
	"slices"
	"strings"
	"time"
)

// Maintenance holds the settings of the maintenance section. A zero value selects the gateways' default.
type Maintenance struct {
	MaxGateways, MaxPerZone, MaxServers                        int
	SettleTime, ReturnTimeout, DefaultDuration, SilenceTimeout time.Duration
}

// DefaultMaintenance returns durations that suit a short run.
func DefaultMaintenance() *Maintenance {
	return &Maintenance{SettleTime: 500 * time.Millisecond, ReturnTimeout: 20 * time.Second, DefaultDuration: 30 * time.Second, SilenceTimeout: 10 * time.Second}
}

// section returns the maintenance section of a gateway's operators' file. The load limit is 100 %, so that other load
// on the shared machine does not delay the maintenance.
func (m *Maintenance) section() string {
	var b strings.Builder
	b.WriteString("maintenance\n max-load 100\n")
	for _, setting := range []struct {
		name  string
		value any
		set   bool
	}{
		{"max-gateways", m.MaxGateways, m.MaxGateways > 0}, {"max-per-zone", m.MaxPerZone, m.MaxPerZone > 0}, {"max-servers", m.MaxServers, m.MaxServers > 0},
		{"settle-time", m.SettleTime, m.SettleTime > 0}, {"return-within", m.ReturnTimeout, m.ReturnTimeout > 0}, {"default-duration", m.DefaultDuration, m.DefaultDuration > 0}, {"unheard", m.SilenceTimeout, m.SilenceTimeout > 0},
	} {
		if setting.set {
			fmt.Fprintf(&b, " %s %v\n", setting.name, setting.value)
		}
	}
	return b.String()
}

// MaintenanceStatus is a gateway's answer to "maintenance list --json".
type MaintenanceStatus struct {
	Leader   string            `json:"leader"` // the ledger's leader; empty if the gateway does not know it
	Paused   bool              `json:"held"`
	Machines []MaintenanceItem `json:"machines"`
}

// MaintenanceItem is one entry of the maintenance order.
type MaintenanceItem struct {
	Place      int    `json:"place"` // in the queue, from 1; 0 if the entry is finished
	Machine    string `json:"machine"`
	Kind       string `json:"kind"`
	State      string `json:"state"`
	WaitingFor string `json:"waits"`
	Comment    string `json:"why"`
}

// String lists the machines in the queue with their states and what they wait for.
func (o MaintenanceStatus) String() string {
	var words []string
	for _, u := range o.Machines {
		if u.Place > 0 {
			words = append(words, strings.TrimSuffix(fmt.Sprintf("%s %s (%s)", u.Machine, u.State, u.WaitingFor), " ()"))
		}
	}
	return strings.Join(words, ", ")
}

// FindMachine returns the latest entry of a machine.
func (o MaintenanceStatus) FindMachine(name string) (u MaintenanceItem) {
	for _, x := range o.Machines {
		if x.Machine == name {
			u = x
		}
	}
	return u
}

// MaintenanceStatus queries a gateway for the maintenance order.
func (n *Node) MaintenanceStatus() (o MaintenanceStatus, err error) {
	err = n.query(&o, "maintenance", "list", "--json")
	return o, err
}

// RunMaintenance runs a maintenance command at a gateway, as an operator does.
func (n *Node) RunMaintenance(args ...string) (string, error) {
	out, err := exec.Command(n.cluster.Binary, append([]string{"maintenance", "--socket", n.Socket()}, args...)...).CombinedOutput()
	text := strings.TrimSpace(string(out))
	if err != nil {
		return text, fmt.Errorf("maintenance %s at gateway %d: %w: %s", strings.Join(args, " "), n.Number, err, text)
	}
	return text, nil
}

// RunMaintenanceAnywhere runs a maintenance command at the gateways in turn until one of them accepts it.
func (c *Cluster) RunMaintenanceAnywhere(args ...string) (text string, err error) {
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, n := range c.Nodes {
			if text, err = n.RunMaintenance(args...); err == nil {
				return text, nil
			}
		}
	}
	return text, err
}

// LeaderMaintenanceStatus queries the gateways in turn until a gateway that knows the ledger's leader answers, and returns that
// answer.
func (c *Cluster) LeaderMaintenanceStatus() (o MaintenanceStatus, err error) {
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, n := range c.Nodes {
			if o, err = n.MaintenanceStatus(); err == nil && o.Leader != "" {
				return o, nil
			}
		}
	}
	return o, fmt.Errorf("no gateway returned the maintenance order with a known leader: %w", err)
}

// MaintenanceActions are the actions of a simulated operator on machines that are out.
type MaintenanceActions struct {
	// Gateway is called for a gateway that is out. If Gateway is nil, the test cluster kills the gateway and starts it again.
	Gateway func(n *Node) error
	Server  func(name string) error        // called for a server that is out; may be nil
	Done    func(o MaintenanceStatus) bool // called with each status; the maintenance ends early if Done returns true; may be nil
}

// The phases at which maintenance work on a machine starts and ends. The machine's name follows each of these prefixes.
const (
	workStarted = "touched "
	workEnded   = "untouched "
)

// PerformMaintenance acts as an operator until the queue is empty. It performs the actions on machines that are out, and promotes
// another server of the group if a primary is next in the queue.
func (c *Cluster) PerformMaintenance(bound time.Duration, actions MaintenanceActions) error {
	worked := map[string]bool{}
	var last MaintenanceStatus
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		o, err := c.LeaderMaintenanceStatus()
		if err != nil {
			return err
		}
		if text := o.String(); text != last.String() {
			c.History.Add(Event{Kind: PhaseReached, What: "order", Text: text})
		}
		last = o
		if actions.Done != nil && actions.Done(o) {
			return nil
		}
		left := 0
		for _, item := range o.Machines {
			if item.Place == 0 {
				continue
			}
			left++
			switch {
			case item.State == "next" && strings.Contains(item.WaitingFor, "another primary"):
				err = c.replacePrimary(item.Machine)
			case item.State == "out" && !worked[item.Machine]:
				worked[item.Machine] = true
				err = c.performOn(item, actions)
			}
			if err != nil {
				return err
			}
		}
		if left == 0 {
			return nil
		}
	}
	return fmt.Errorf("the maintenance order was not empty within %v: %+v", bound, last)
}

// performOn performs the actions on one machine.
func (c *Cluster) performOn(item MaintenanceItem, actions MaintenanceActions) error {
	c.History.Add(Event{Kind: PhaseReached, What: workStarted + item.Machine})
	if item.Kind == "server" {
		if actions.Server != nil {
			if err := actions.Server(item.Machine); err != nil {
				return err
			}
		}
		c.History.Add(Event{Kind: PhaseReached, What: workEnded + item.Machine})
		_, err := c.RunMaintenanceAnywhere("done", "server:"+item.Machine)
		return err
	}
	for _, node := range c.Nodes {
		if node.Name() != item.Machine {
			continue
		}
		if actions.Gateway != nil {
			return actions.Gateway(node)
		}
		undo, err := c.injectRecorded(Fault{Verb: verbKill, From: []int{node.Number}})
		if err != nil {
			return err
		}
		node.WaitForExit()
		return undo()
	}
	return fmt.Errorf("there is no machine %s", item.Machine)
}

// fenceTime is how long a former primary is cut off, so that no gateway takes that server for the primary.
const fenceTime = time.Second

// replacePrimary promotes another server of the same group if the named server is a primary.
func (c *Cluster) replacePrimary(name string) error {
	s := c.server(name)
	if s == nil || s.role() != rolePrimary {
		return nil
	}
	i := slices.IndexFunc(s.group.servers, func(next *server) bool { return next != s })
	undo, err := c.injectRecorded(Fault{Verb: verbPromote, Name: s.group.servers[i].name})
	if err != nil {
		return err
	}
	time.Sleep(fenceTime)
	return undo()
}
