package raftstore

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// Durations in ticks. A call without a reply is sent again, normally to another gateway, after retryTicks. A graceful shutdown
// takes at most drainTimeoutTicks. A leader checks every leaderBalanceTicks whether another member should lead. A notice about a
// foreign cluster is emitted at most once every foreignNoticeTicks.
const (
	retryTicks         = 3
	drainTimeoutTicks  = 10
	leaderBalanceTicks = 30
	foreignNoticeTicks = 600
)

// Host is one gateway's part of the state store: the group members that it runs, and its own calls to the groups. It is not safe
// for concurrent use: a single goroutine must own it.
type Host struct {
	cfg         Config
	now         clock.Micros
	nextTick    clock.Micros
	ticks       uint64
	store       uint64 // number of this gateway's store; 0: it has none
	incarnation uint64 // incarnation of the store
	runsGroups  bool
	diskTrusted bool // the disk is known to contain the last write
	clusterID   uint64
	ledger      *api.Ledger // the latest version known to this host
	groups      map[uint32]*group
	renumbered  uint64 // how often the store was given a new number

	disk        diskWriter
	calls       callTable
	peers       peerTable
	placement   placementObservations // valid only while this host leads the ledger
	maintenance maintenanceState
	out         outbox
	shutdown    shutdown
}

// New creates a host from the state stored on its disk; nil means an empty disk. trusted is set if the disk is known to contain the
// last write of the previous start. If trusted is not set, each member is first in recovery: it asks the other members how far its
// own log had got, and takes part again only after their replies. New returns an error if the stored state cannot be read or needs
// a later version.
func New(cfg Config, now clock.Micros, stored *StoredState, trusted bool) (*Host, error) {
	if cfg.Format == 0 {
		cfg.Format = LatestFormat
	}
	host := &Host{
		cfg: cfg, now: now, nextTick: now, runsGroups: cfg.RunsGroups, diskTrusted: trusted, ledger: &api.Ledger{}, groups: map[uint32]*group{},
		calls: newCallTable(cfg.FirstCallID), peers: newPeerTable(), out: outbox{packets: map[string]*api.Packet{}},
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

// restoreMembers creates the members stored on the disk and applies the committed entries of their logs.
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
		g.recovery = &recovery{} // marks the member as in recovery, so that processReady sends nothing
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

// newStateMachine creates an empty state machine for a group. reset is set if the shard's previous epoch was lost.
func (h *Host) newStateMachine(id, epoch uint32, reset bool) stateMachine {
	if id == LedgerGroup {
		return newLedger()
	}
	return newShard(h.cfg.MaxShardBytes, h.cfg.Format, epoch, reset)
}

// NextTick returns the time at which the next Tick is due.
func (h *Host) NextTick() clock.Micros { return h.nextTick }

// Handle processes one event. Flush returns the resulting actions.
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

// sortedGroups returns the members that run on this gateway, sorted by group number.
func (h *Host) sortedGroups() (all []*group) {
	for _, id := range slices.Sorted(maps.Keys(h.groups)) {
		all = append(all, h.groups[id])
	}
	return all
}

// Flush proposes the commands queued since the last Flush, and returns the actions to carry out, in order.
func (h *Host) Flush() []Action {
	for range 8 { // replies may cause further local calls; those left after 8 rounds are handled by the next Flush
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

// tick advances all parts of the host by one tick.
func (h *Host) tick() {
	h.ticks++
	h.nextTick += h.cfg.Tick
	if h.nextTick <= h.now { // the process was paused: skip the missed ticks, since catching up would start an election at once
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

// balanceIsDue reports whether balanceLeader must check a group at this tick. A group that this gateway leads is checked once every
// leaderBalanceTicks, at a tick that depends on the group's number. The group is not checked during a drain, nor until
// this gateway has led the group for leaderBalanceTicks.
func (h *Host) balanceIsDue(g *group) bool {
	return g.isLeader && !h.shutdown.draining && h.ticks%leaderBalanceTicks == uint64(g.id)%leaderBalanceTicks &&
		h.now-g.leading.since >= leaderBalanceTicks*h.cfg.Tick
}

// balanceLeader transfers the leadership of a group to the voter whose store ranks first for the group, if that voter is caught up.
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
