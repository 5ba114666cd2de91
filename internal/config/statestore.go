package config

import (
	"slices"
	"strings"
	"time"

	"marblespan/internal/config/lines"
)

// The bounds of the durations of a state-store section.
const (
	minHeartbeat   = 20 * time.Millisecond
	maxHeartbeat   = 2 * time.Second
	minRepairAfter = 2 * time.Second
	minMarksTTL    = time.Second
	maxMarksTTL    = 24 * time.Hour
)

// minRepairHeartbeats is the lower bound of repair-after, in heartbeats. The bound is this high because a node that has missed
// fewer heartbeats may still be alive.
const minRepairHeartbeats = 20

// AllMembers in the list of Raft nodes means that every gateway is a Raft node.
const AllMembers = "all"

// StateStore is the section state-store. It holds the settings of the gateways' replicated state, and names the gateways that run
// the state's Raft groups.
type StateStore struct {
	lines.Source
	RaftNodes    []string      `conf:"raft-nodes" validate:"min=1,max=1024,dive,min=1,max=40"` // names of gateways, or AllMembers
	Voters       int           `conf:"voters" validate:"oneof=1 3 5"`                          // voters of each Raft group
	Shards       int           `conf:"shards" validate:"min=1,max=64"`
	Storage      []string      `conf:"storage" validate:"min=1,max=2"` // "memory", or "disk" and a path
	Witness      string        `conf:"witness" validate:"max=200"`
	Heartbeat    time.Duration `conf:"heartbeat"`
	RepairAfter  time.Duration `conf:"repair-after"` // how long a silent node keeps its members of Raft groups
	MaxRepairs   int           `conf:"max-repairs" validate:"min=1,max=64"`
	RepairRate   lines.Size    `conf:"repair-rate" validate:"min=65536"` // bytes per second
	Memory       lines.Size    `conf:"memory" validate:"min=65536"`      // bytes for the records of one shard
	SessionMarks []string      `conf:"session-marks" validate:"max=64"`  // classes of requests with stored session positions
	MarksMode    string        `conf:"marks-mode" validate:"oneof=safe fast"`
	MarksTTL     time.Duration `conf:"marks-ttl"`
}

// Defaults sets the values that apply where the file does not set a directive of the section.
func (s *StateStore) Defaults() {
	s.Voters, s.Shards, s.Heartbeat, s.RepairAfter, s.MaxRepairs = 3, 16, 100*time.Millisecond, 10*time.Minute, 2
	s.RepairRate, s.Memory, s.MarksMode, s.MarksTTL = 8<<20, 4<<20, "safe", time.Hour
}

// RunsRaftNode reports whether a gateway is one of the Raft nodes.
func (s *StateStore) RunsRaftNode(node string) bool {
	return slices.Contains(s.RaftNodes, AllMembers) || slices.Contains(s.RaftNodes, node)
}

// StoragePath returns the path of the storage file, or "" if the storage is memory.
func (s *StateStore) StoragePath() string {
	if len(s.Storage) == 2 {
		return s.Storage[1]
	}
	return ""
}

// storageIsValid reports whether storage is "memory", or "disk" with a path.
func (s *StateStore) storageIsValid() bool {
	switch len(s.Storage) {
	case 1:
		return s.Storage[0] == "memory"
	case 2:
		return s.Storage[0] == "disk" && s.Storage[1] != ""
	}
	return false
}

func (s *StateStore) check(operators *Operators, faults *faultList) {
	if operators.Members == nil {
		faults.add(s.Source, "state-store", 0, "requires a members section")
	}
	if !s.storageIsValid() {
		faults.add(s.Source, "storage", 0, `invalid value %q: must be "memory", or "disk" and a path`, strings.Join(s.Storage, " "))
	}
	if s.Witness != "" && s.StoragePath() == "" {
		faults.add(s.Source, "witness", 0, "requires storage on disk")
	}
	if s.Heartbeat < minHeartbeat || s.Heartbeat > maxHeartbeat {
		faults.add(s.Source, "heartbeat", 0, "invalid value %v: must be from %v to %v", s.Heartbeat, minHeartbeat, maxHeartbeat)
	}
	if s.RepairAfter < minRepairAfter || s.RepairAfter < minRepairHeartbeats*s.Heartbeat {
		faults.add(s.Source, "repair-after", 0, "invalid value %v: must be at least %v and at least %d heartbeats", s.RepairAfter, minRepairAfter, minRepairHeartbeats)
	}
	if s.MarksTTL < minMarksTTL || s.MarksTTL > maxMarksTTL {
		faults.add(s.Source, "marks-ttl", 0, "invalid value %v: must be from %v to %v", s.MarksTTL, minMarksTTL, maxMarksTTL)
	}
}
