package maintenance

import (
	"slices"

	"marblespan/internal/clock"
)

// Limits are what the leader's operators' file allows.
type Limits struct {
	MaxGateways  int          // away at once
	MaxPerZone   int          // gateways of one zone away at once
	MaxServers   int          // database servers away at once; of each group one at the most
	KeepReady    int          // ready gateways that a zone keeps
	MaxLoad      int          // what the remaining gateways may have to carry, in thousandths of their capacity
	SettleTime   clock.Micros // for how long a machine that returned has to be healthy
	ReturnWithin clock.Micros // after which a machine that is returning is overdue
	ExcuseAfter  clock.Micros // after which a machine that is overdue holds nobody up any more; 0: never
	// RepairAfter is after how long a silent gateway's shards get another host: a gateway that is out for longer has them migrated
	// first.
	RepairAfter clock.Micros
}

// Presence is what the leader knows of whether a gateway is there.
type Presence uint8

// The presences.
const (
	Alive  Presence = iota
	Silent          // it is alive by the membership, and has not reported lately
	Dead
	Left // it has ended in an orderly way
)

// Member is a gateway as the membership has it.
type Member struct {
	Name, Zone  string
	Presence    Presence // Alive, Dead or Left
	Incarnation uint64
}

// Report is what a gateway tells of itself and of what it sees.
type Report struct {
	LedgerIndex    uint64 // the ledger's index by which it acts
	Ready          bool   // it would admit something new
	Idle           bool   // nothing of its own is in flight, and it holds no floating address
	Leads          bool   // it leads a shard, or the ledger
	Load           int    // share of its processors that it uses, in thousandths
	FloatingGroups []string
	Quiesced       []uint64 // machines in the order that it sends nothing to, and has nothing in flight at
	Servers        []ServerReport
}

// ServerReport is how one gateway sees a database server of a group that the order concerns.
type ServerReport struct {
	Group                             int
	Name                              string
	Primary, Down, WarmingUp, Lagging bool
}

// GatewayStatus is one gateway. The report is the last one of this incarnation.
type GatewayStatus struct {
	Name, Zone  string
	Incarnation uint64
	Presence    Presence
	Report
}

// ShardStatus is one shard, or the ledger.
type ShardStatus struct {
	Hosts           []string // the gateways that hold a replica
	Complete        bool     // all its replicas are there, none is on its way, and its leader says so
	UnderReplicated bool     // it has fewer replicas than it is to have
}

// ClusterView is what the leader knows beside the order, at one moment.
type ClusterView struct {
	Now         clock.Micros
	AllReported bool // the leader has led for long enough to have a report of every gateway that is there
	Gateways    []GatewayStatus
	Shards      []ShardStatus
}

// Complete implements Shards by what the leader knows.
func (v *ClusterView) Complete(gateway string) bool {
	return !slices.ContainsFunc(v.Shards, func(s ShardStatus) bool { return !s.Complete && slices.Contains(s.Hosts, gateway) })
}

// ShareShard implements Shards by what the leader knows.
func (v *ClusterView) ShareShard(a, b string) bool {
	return slices.ContainsFunc(v.Shards, func(s ShardStatus) bool { return slices.Contains(s.Hosts, a) && slices.Contains(s.Hosts, b) })
}

// shardCount is of how many shards a gateway holds a replica.
func (v *ClusterView) shardCount(gateway string) (count int) {
	for _, s := range v.Shards {
		if slices.Contains(s.Hosts, gateway) {
			count++
		}
	}
	return count
}

// gateway is the gateway of a name; nil: it is not known.
func (v *ClusterView) gateway(name string) *GatewayStatus {
	if i := slices.IndexFunc(v.Gateways, func(g GatewayStatus) bool { return g.Name == name }); i >= 0 {
		return &v.Gateways[i]
	}
	return nil
}

// isThere tells whether a gateway is known and alive, and has reported lately.
func (g *GatewayStatus) isThere() bool { return g != nil && g.Presence == Alive }

// combinedReport is what all gateways that report say of a server together: the worst of it, and that it is the primary if all
// that know it say so. known is false where none knows it.
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

// serversOfGroup lists the servers of a group that any gateway knows, sorted.
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

// isPrimary tells whether any gateway takes a server for its group's primary.
func (v *ClusterView) isPrimary(group int, name string) bool {
	return slices.ContainsFunc(v.Gateways, func(g GatewayStatus) bool {
		return g.Presence == Alive && slices.ContainsFunc(g.Servers, func(s ServerReport) bool { return s.Group == group && s.Name == name && s.Primary })
	})
}
