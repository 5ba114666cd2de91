package raftstore

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// Durations in ticks: a call that has no reply is sent elsewhere after retryTicks; a graceful shutdown takes at most drainTimeoutTicks; a
// leader checks after leaderBalanceTicks whether another member should lead; a notice about another cluster comes once in foreignNoticeTicks.
const (
	retryTicks         = 3
	drainTimeoutTicks  = 10
	leaderBalanceTicks = 30
	foreignNoticeTicks = 600
)

// Host is one gateway's part of the state store: the group members that it runs, and its calls to groups that other gateways run.
// It is not safe for concurrent use: one goroutine owns it.
type Host struct {
	cfg         Config
	now         clock.Micros
	nextTick    clock.Micros
	ticks       uint64
	store       uint64 // the number of this gateway's disk; 0: it runs no groups
	incarnation uint64 // of the disk
	runsGroups  bool
	diskTrusted bool // the disk is known to hold the last write
	clusterID   uint64
	ledger      *api.Ledger // the latest that is known here
	groups      map[uint32]*group
	renumbered  uint64 // how often the store got another number

	disk        diskWriter
	calls       callTable
	peers       peerTable
	placement   placementFacts // valid where this host leads the ledger
	maintenance maintenanceState
	out         outbox
	shutdown    shutdown
}

// New makes a host from what its disk holds; nil is an empty disk. trusted says that the disk is known to hold the last write of its last
// start. Without it, each member asks the others how far it had got before it takes part (recovery). An error means that the stored
// state cannot be read, or needs a later version.
func New(cfg Config, now clock.Micros, stored *StoredState, trusted bool) (*Host, error) {
	if cfg.Format == 0 {
		cfg.Format = LatestFormat
	}
	host := &Host{
		cfg: cfg, now: now, nextTick: now, runsGroups: cfg.RunsGroups, diskTrusted: trusted, ledger: &api.Ledger{}, groups: map[uint32]*group{},
		calls: newCallTable(), peers: newPeerTable(), out: outbox{packets: map[string]*api.Packet{}},
	}
	if stored == nil {
		stored = &StoredState{}
	}
	if host.runsGroups {
		host.store, host.incarnation = stored.Store, max(cfg.Incarnation, stored.Incarnation+1)
		if host.store == 0 {
			host.store = cfg.NewStoreID
		}
	}
	if len(stored.Ledger) > 0 {
		var ledger api.Ledger
		if err := proto.Unmarshal(stored.Ledger, &ledger); err != nil {
			return nil, fmt.Errorf("raftstore: the stored ledger cannot be decoded: %w", err)
		}
		host.ledger, host.clusterID = &ledger, ledger.ClusterId
	}
	host.disk.retired = stored.Retired
	if err := host.restoreMembers(stored.Members); err != nil {
		return nil, err
	}
	host.disk.started = !host.runsGroups
	host.notifyOrder()
	return host, nil
}

// restoreMembers makes the members that are on the disk and applies what is committed in their logs.
func (h *Host) restoreMembers(stored []StoredMember) error {
	for _, x := range stored {
		g, err := h.newGroup(x, h.newStateMachine(x.Group, x.Epoch, false))
		if err != nil {
			return err
		}
		h.groups[x.Group] = g
	}
	for _, id := range slices.Sorted(maps.Keys(h.groups)) {
		g := h.groups[id]
		g.recovery = &recovery{} // while it is set, nothing is sent
		g.processReady()
		if h.disk.failure != "" {
			return fmt.Errorf("raftstore: %s", h.disk.failure)
		}
		g.recovery = nil
		if !h.diskTrusted {
			g.startRecovery()
		}
	}
	return nil
}

// newStateMachine makes an empty state machine for a group; reset says that the shard's earlier epoch was lost.
func (h *Host) newStateMachine(id, epoch uint32, reset bool) stateMachine {
	if id == LedgerGroup {
		return newLedger()
	}
	return newShard(h.cfg.MaxShardBytes, h.cfg.Format, epoch, reset)
}

// NextTick is when the next Tick is due.
func (h *Host) NextTick() clock.Micros { return h.nextTick }

// Handle takes in one event. What follows from it is returned by Flush.
func (h *Host) Handle(now clock.Micros, next Event) {
	h.now = max(h.now, now)
	switch event := next.(type) {
	case Tick:
		if h.now >= h.nextTick {
			h.tick()
		}
	case PacketReceived:
		h.receivePacket(event)
	case WriteCompleted:
		h.writeCompleted(event.Number)
	case DiskFailed:
		h.failDisk(event.Cause)
	case Request:
		h.startCall(event)
	case BootstrapRequested:
		h.bootstrap(event)
	case StoreRemoved:
		h.removeStore(event.Name)
	case ShardReset:
		h.resetShard(event.Shard)
	case PeersChanged:
		h.peers.names = event.Names
	case MembershipChanged:
		h.maintenance.members = event.Members
	case GatewayReport:
		h.maintenance.own = &event
	case LimitsChanged:
		h.cfg.Maintenance = &event.Limits
	case DrainRequested:
		h.startDrain()
	}
}

// sortedGroups lists the members that run here, in the order of their groups.
func (h *Host) sortedGroups() (all []*group) {
	for _, id := range slices.Sorted(maps.Keys(h.groups)) {
		all = append(all, h.groups[id])
	}
	return all
}

// Flush proposes what has come together since the last one, and returns the actions to carry out, in order.
func (h *Host) Flush() []Action {
	for range 8 { // replies may cause more local calls; what is left after that is done by the next Flush
		for _, l := range h.calls.local {
			h.handleCall(l.caller, l.call)
		}
		h.calls.local = nil
		for _, g := range h.sortedGroups() {
			g.flushProposals()
			g.processReady()
		}
		if len(h.calls.local) == 0 {
			break
		}
	}
	h.startWrite()
	h.sendPackets()
	actions := h.out.actions
	h.out.actions = nil
	return actions
}

// tick lets one tick pass in all parts of the host.
func (h *Host) tick() {
	h.ticks++
	h.nextTick += h.cfg.Tick
	if h.nextTick <= h.now { // the process stood still: missed ticks are not made up for, or an election would begin at once
		h.nextTick = h.now + h.cfg.Tick
	}
	for _, g := range h.sortedGroups() {
		if h.groups[g.id] != g {
			continue
		}
		g.tick()
		if h.balanceIsDue(g) {
			h.balanceLeader(g)
		}
	}
	if h.ticks%storeHeartbeatTicks == 0 {
		h.sendHeartbeat()
	}
	if g := h.groups[LedgerGroup]; g != nil && g.isLeader && g.recovery == nil {
		h.planPlacement(g)
	}
	if h.isCordoned() {
		h.shedLeadership()
	}
	h.retryCalls()
	if h.shutdown.draining {
		h.finishDrain()
	}
}

// balanceIsDue tells whether it is a group's turn to be checked by balanceLeader: once in leaderBalanceTicks, each at its own tick.
func (h *Host) balanceIsDue(g *group) bool {
	return g.isLeader && !h.shutdown.draining && h.ticks%leaderBalanceTicks == uint64(g.id)%leaderBalanceTicks &&
		h.now-g.leading.since >= leaderBalanceTicks*h.cfg.Tick
}

// balanceLeader transfers the leadership of a group to the voter that ranks first for it, if that one is caught up.
func (h *Host) balanceLeader(g *group) {
	x := findGroup(h.ledger, g.id)
	if x == nil || x.Epoch != g.epoch || x.Adding != nil {
		return
	}
	var stores []*api.Store
	for _, r := range x.Voters {
		s := findStore(h.ledger, r.Store)
		if s == nil || memberLost(h.ledger, r) {
			continue
		}
		if _, cordoned := maintenanceDuration(h.ledger, s.Name); !cordoned {
			stores = append(stores, s)
		}
	}
	best := placeGroup(g.id, stores, 1)
	if len(best) == 0 || best[0].Id == h.store {
		return
	}
	for _, r := range x.Voters {
		if r.Store == best[0].Id && g.isCaughtUp(r.Id) {
			g.transferLeadership(r.Id)
		}
	}
}
