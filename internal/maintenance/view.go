package maintenance

import (
	"slices"

	"marblespan/internal/clock"
)

// Limits are the limits that the leader's operators' file sets.
type Limits struct {
	MaxGateways  int          // gateways out of service at once
	MaxPerZone   int          // gateways of one zone out of service at once
	MaxServers   int          // database servers out of service at once; at most one of each group
	KeepReady    int          // ready gateways that must remain in a zone
	MaxLoad      int          // load that the remaining gateways may have to carry, in thousandths of their capacity
	SettleTime   clock.Micros // how long a machine that has returned must be healthy before it counts as back
	ReturnWithin clock.Micros // how long a machine may be returning before it is overdue
	ExcuseAfter  clock.Micros // time from the end of an overdue machine's Duration until the machine becomes Overridden; 0: never
	// RepairAfter is how long a gateway may be silent before its shards are moved to another host. If the planned work on a gateway
	// takes longer, its shards are migrated before the gateway drains.
	RepairAfter clock.Micros
}

// Presence is what the leader knows about whether a gateway is running.
type Presence uint8

// The presences.
const (
	Alive  Presence = iota
	Silent          // the gateway is alive according to the membership, but has not reported lately
	Dead
	Left // the gateway has shut down gracefully
)

// Member is a gateway as listed by the membership.
type Member struct {
	Name, Zone  string
	Presence    Presence // Alive, Dead or Left
	Incarnation uint64
}

// Report is what a gateway reports about itself and about the servers that it sees.
type Report struct {
	LedgerIndex    uint64 // the index of the last ledger entry that the gateway has applied and acts on
	Ready          bool   // the gateway would admit new requests
	Idle           bool   // the gateway has no request in flight and holds no floating address
	Leads          bool   // the gateway leads a shard or the ledger
	Load           int    // processor usage, in thousandths of the gateway's capacity
	FloatingGroups []string
	Quiesced       []uint64 // Machine.ID of each server to which the gateway sends nothing and at which it has nothing in flight
	Servers        []ServerReport
}

// ServerReport is how one gateway sees a database server of a group that has a server in the order.
type ServerReport struct {
	Group                             int
	Name                              string
	Primary, Down, WarmingUp, Lagging bool
}

// GatewayStatus is what the leader knows about one gateway. The Report is the last report of the given incarnation.
type GatewayStatus struct {
	Name, Zone  string
	Incarnation uint64
	Presence    Presence
	Report
}

// ShardStatus is the state of one shard, or of the ledger.
type ShardStatus struct {
	Hosts           []string // the gateways that hold a copy of the shard
	Complete        bool     // the shard's leader confirms that all copies exist and none is being moved
	UnderReplicated bool     // the shard has fewer copies than configured
}

// ClusterView is what the leader knows about the cluster at one moment, apart from the order.
type ClusterView struct {
	Now         clock.Micros
	AllReported bool // the leader has led for long enough to have a report from every gateway that is running
	Gateways    []GatewayStatus
	Shards      []ShardStatus
}

// Complete reports whether every shard that a gateway holds is complete, according to the reports that the leader has.
func (v *ClusterView) Complete(gateway string) bool {
	return !slices.ContainsFunc(v.Shards, func(s ShardStatus) bool { return !s.Complete && slices.Contains(s.Hosts, gateway) })
}

// ShareShard reports whether two gateways both hold a copy of the same shard, according to the reports that the leader has.
func (v *ClusterView) ShareShard(a, b string) bool {
	return slices.ContainsFunc(v.Shards, func(s ShardStatus) bool { return slices.Contains(s.Hosts, a) && slices.Contains(s.Hosts, b) })
}

// shardCount returns the number of shards that a gateway holds.
func (v *ClusterView) shardCount(gateway string) (count int) {
	for _, s := range v.Shards {
		if slices.Contains(s.Hosts, gateway) {
			count++
		}
	}
	return count
}

// gateway returns the status of the gateway with this name, or nil if it is unknown.
func (v *ClusterView) gateway(name string) *GatewayStatus {
	if i := slices.IndexFunc(v.Gateways, func(g GatewayStatus) bool { return g.Name == name }); i >= 0 {
		return &v.Gateways[i]
	}
	return nil
}

// isReporting reports whether the gateway is known, is alive and has reported lately.
func (g *GatewayStatus) isReporting() bool { return g != nil && g.Presence == Alive }

// combinedReport combines what all reporting gateways report about a server. The server counts as down, warming up or lagging if
// at least one of these gateways reports it so. The server counts as the primary only if all reporting gateways that know the
// server report it as the primary. known is false if no reporting gateway knows the server.
func (v *ClusterView) combinedReport(group int, name string) (all ServerReport, known bool) {
	all = ServerReport{Group: group, Name: name, Primary: true}
	for _, g := range v.Gateways {
		if g.Presence != Alive {
			continue
		}
		for _, s := range g.Servers {
			if s.Group == group && s.Name == name {
				known = true
				all.Primary = all.Primary && s.Primary
				all.Down, all.WarmingUp, all.Lagging = all.Down || s.Down, all.WarmingUp || s.WarmingUp, all.Lagging || s.Lagging
			}
		}
	}
	return all, known
}

// serversOfGroup returns the sorted names of the servers of a group that at least one reporting gateway knows.
func (v *ClusterView) serversOfGroup(group int) (names []string) {
	for _, g := range v.Gateways {
		for _, s := range g.Servers {
			if g.Presence == Alive && s.Group == group && !slices.Contains(names, s.Name) {
				names = append(names, s.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// isPrimary reports whether at least one reporting gateway considers the server the primary of its group.
func (v *ClusterView) isPrimary(group int, name string) bool {
	return slices.ContainsFunc(v.Gateways, func(g GatewayStatus) bool {
		return g.Presence == Alive && slices.ContainsFunc(g.Servers, func(s ServerReport) bool { return s.Group == group && s.Name == name && s.Primary })
	})
}
