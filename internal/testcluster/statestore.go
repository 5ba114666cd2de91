package testcluster

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"marblespan/internal/fake"
)

// StateStore configures the gateways' state store, which holds the session positions of the classes ClassBooking and ClassMine.
type StateStore struct {
	Voters, Shards         int
	Heartbeat, RepairAfter time.Duration
	Memory                 int  // bytes for the records of a shard; 0 means enough for the bookings of a run
	InMemory               bool // the store is kept in memory instead of on disk
	FastMarks              bool // gateways send an answer before its session position is stored
	NoSessionMarks         bool // no class uses session marks
	RaftNodes              int  // number of gateways, from gateway 1 on, that run members of the Raft groups; 0 means all
}

// DefaultStateStore returns sizes and durations that suit a few gateways and a short run.
func DefaultStateStore() *StateStore {
	return &StateStore{Voters: 3, Shards: 4, Heartbeat: 100 * time.Millisecond, RepairAfter: 3 * time.Second}
}

// section returns the state-store section of a gateway's operators' file.
func (c *StateStore) section(n *Node) string {
	var b strings.Builder
	nodes := "all"
	for i := range c.RaftNodes {
		if i == 0 {
			nodes = ""
		}
		nodes += n.cluster.Nodes[i].Name() + " "
	}
	fmt.Fprintf(&b, "state-store\n raft-nodes %s\n voters %d\n shards %d\n heartbeat %v\n repair-after %v\n max-repairs 8\n", nodes, c.Voters, c.Shards, c.Heartbeat, c.RepairAfter)
	if c.InMemory {
		fmt.Fprintf(&b, " storage memory\n")
	} else {
		fmt.Fprintf(&b, " storage disk %s\n witness %s\n", n.StoreFile(), n.dir+"/witness")
	}
	if c.Memory > 0 {
		fmt.Fprintf(&b, " memory %d\n", c.Memory)
	} else if n.cluster.InDoubt != nil {
		b.WriteString(" memory 16m\n") // enough for the intents of all bookings of a run
	}
	if !c.NoSessionMarks {
		fmt.Fprintf(&b, " session-marks %s %s\n", ClassBooking, ClassMine)
	}
	if c.FastMarks {
		fmt.Fprintf(&b, " marks-mode fast\n")
	}
	return b.String()
}

// StoreFile returns the path of the file that holds the gateway's members of the Raft groups.
func (n *Node) StoreFile() string { return n.dir + "/data/copies.db" }

// StateStoreStatus is a gateway's answer to "state-store --json".
type StateStoreStatus struct {
	BootstrapID string `json:"founding"` // empty if there is no store
	Voters      int    `json:"copies"`
	Format      uint32 `json:"format"` // the latest format of records that may be used
	StoreID     string `json:"disk"`   // id of the answering gateway's own store; empty if the gateway has none
	Failed      string `json:"failed"`
	Stores      []struct {
		Number  string `json:"number"`
		Node    string `json:"node"`
		Removed bool   `json:"gone"`
	} `json:"disks"`
	Groups []RaftGroup `json:"groups"` // the ledger first, then the shards
}

// RaftGroup is the status of the ledger or of one shard.
type RaftGroup struct {
	Group    uint32        `json:"group"`
	Epoch    uint32        `json:"epoch"`
	Lost     bool          `json:"lost"`
	Replicas []RaftReplica `json:"replicas"`
	Adding   *RaftReplica  `json:"adding"`
	Here     *struct {     // the answering gateway's own member; nil if the gateway has none
		Leader     string `json:"leader"`
		Records    int    `json:"records"`
		Recovering bool   `json:"unsure"`
	} `json:"here"`
}

// RaftReplica is one member of a Raft group.
type RaftReplica struct {
	Number  uint64 `json:"number"`
	Gateway string `json:"node"`
	Lost    bool   `json:"lost"`
}

// HasReplicaOn reports whether a gateway has a voter of the group.
func (g RaftGroup) HasReplicaOn(n *Node) bool {
	return slices.ContainsFunc(g.Replicas, func(r RaftReplica) bool { return r.Gateway == n.Name() })
}

// StateStoreStatus queries a gateway for the status of its state store.
func (n *Node) StateStoreStatus() (v StateStoreStatus, err error) {
	err = n.query(&v, "state-store", "--json")
	return v, err
}

// Bootstrap creates a new state store at a gateway. The parameter first declares that there was no store before.
func (n *Node) Bootstrap(first bool) error {
	args := []string{"state-store", "bootstrap"}
	if first {
		args = append(args, "--first")
	}
	return n.run(args...)
}

// RemoveStore declares, by a command to this gateway, that the store of another gateway is lost for good.
func (n *Node) RemoveStore(other *Node) error {
	return n.run("state-store", "remove-store", other.Name())
}

// LeaderOf returns the gateway that leads a Raft group, or nil if there is currently no leader.
func (c *Cluster) LeaderOf(group int) *Node {
	for _, n := range c.Nodes {
		v, err := n.StateStoreStatus()
		if err != nil || group >= len(v.Groups) || v.Groups[group].Here == nil {
			continue
		}
		for _, m := range c.Nodes {
			if m.Name() == v.Groups[group].Here.Leader {
				return m
			}
		}
	}
	return nil
}

// incompleteReason returns why the state store is not complete, or "" if it is complete. A complete store has all voters in every
// group, and a leader that all voters agree on.
func (c *Cluster) incompleteReason() string {
	views := map[string]StateStoreStatus{}
	for _, n := range c.Nodes {
		v, err := n.StateStoreStatus()
		if err != nil || len(v.Groups) != c.Options.StateStore.Shards+1 {
			return fmt.Sprintf("gateway %d: %d groups, %v", n.Number, len(v.Groups), err)
		}
		if v.Failed != "" {
			return fmt.Sprintf("gateway %d: %s", n.Number, v.Failed)
		}
		views[n.Name()] = v
	}
	first := views[c.Nodes[0].Name()]
	for i, g := range first.Groups {
		leader := ""
		if len(g.Replicas) != c.Options.StateStore.Voters || g.Adding != nil {
			return fmt.Sprintf("group %d: %+v, adding %+v", i, g.Replicas, g.Adding)
		}
		for _, r := range g.Replicas {
			here := views[r.Gateway].Groups[i].Here
			if r.Lost || here == nil || here.Recovering || here.Leader == "" || leader != "" && here.Leader != leader {
				return fmt.Sprintf("group %d: replica %d on %s: %+v, lost: %v", i, r.Number, r.Gateway, here, r.Lost)
			}
			leader = here.Leader
		}
		for _, n := range c.Nodes {
			if other := views[n.Name()].Groups[i]; other.Epoch != g.Epoch || len(other.Replicas) != len(g.Replicas) {
				return fmt.Sprintf("group %d: gateway %d has a different state of the ledger", i, n.Number)
			}
		}
	}
	return ""
}

// restartFailedStores restarts the gateways whose stores have failed, as an operator does once the disk is repaired.
func (c *Cluster) restartFailedStores() error {
	if c.Options.StateStore == nil {
		return nil
	}
	for _, n := range c.Nodes {
		if v, err := n.StateStoreStatus(); err != nil || v.Failed == "" {
			continue
		}
		undo, err := c.injectRecorded(Fault{Verb: verbTerm, From: []int{n.Number}})
		if err == nil {
			err = undo()
		}
		if err != nil {
			return err
		}
	}
	return c.AwaitReady(settleTimeout)
}

// AwaitComplete waits until every Raft group has all its voters and a leader.
func (c *Cluster) AwaitComplete(bound time.Duration) error {
	for deadline := time.Now().Add(bound); ; time.Sleep(50 * time.Millisecond) {
		wrong := c.incompleteReason()
		if wrong == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the state store is not complete within %v: %s", bound, wrong)
		}
	}
}

// VerifySessions sends one more read in every session with a served booking, at the gateways in turn. From these reads, checkSessions
// finds sessions whose position was lost.
func (l *Load) VerifySessions() { l.VerifySomeSessions(1) }

// VerifySomeSessions does the same as VerifySessions for a sample of the sessions. If the parameter of is n, every n-th served
// booking is in the sample.
func (l *Load) VerifySomeSessions(of int) {
	var keys []string
	for _, e := range l.cluster.History.Events() {
		if e.Kind == ResponseReceived && e.Class == ClassBooking && e.What == EndServed {
			keys = append(keys, e.Key)
		}
	}
	turn := 0
	b := &fake.Client{
		Name: "final", Class: ClassMine, Group: FirstGroup, Timeout: requestTimeout, MaxAttempts: 20, Backoff: clientBackoff, Ledger: &l.ledger,
		Addr: func() string { turn++; return l.cluster.Nodes[turn%len(l.cluster.Nodes)].Listen }, OnExchange: l.recordExchange,
	}
	defer b.Close()
	for i, key := range keys {
		if i%of != 0 {
			continue
		}
		if i/of%16 == 0 {
			b.Close() // the next read connects to the next gateway
		}
		b.Group = l.cluster.groupOf(key)
		b.Read(key)
	}
}
