package raftstore

import (
	"errors"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// The spans of a host, in ticks: after retryTicks a call is tried elsewhere; leaveTicks bound a leave; after balanceTicks of
// leading a group is handed to the replica that should.
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

// New makes a host from what its disk holds. trusted says that the disk is known to be the one that was written last; without
// it each replica asks the others whether it had gone further, before it takes part.
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
		if host.store, host.incarnation = stored.Store, max(cfg.Incarnation, stored.Incarnation+1); host.store == 0 {
			host.store = cfg.NewStoreID
		}
	}
	if len(stored.Ledger) > 0 {
		var view api.Ledger
		if err := proto.Unmarshal(stored.Ledger, &view); err != nil {
			return nil, err
		}
		host.ledger, host.clusterID = &view, view.ClusterId
	}
	host.disk.retired = stored.Retired
	for _, x := range stored.Members {
		g, err := host.newGroup(x, host.newStateMachine(x.Group, x.Epoch, false))
		if err != nil {
			return nil, err
		}
		host.groups[x.Group] = g
	}
	for _, id := range slices.Sorted(maps.Keys(host.groups)) {
		g := host.groups[id]
		g.recovery = &recovery{} // so that what is committed already is applied, and nothing is said
		g.processReady()
		if host.disk.failure != "" {
			return nil, errors.New(host.disk.failure)
		}
		if g.recovery = nil; !trusted {
			g.startRecovery()
		}
	}
	host.disk.started = !host.runsGroups
	host.notifyOrder()
	return host, nil
}

func (h *Host) newStateMachine(id, epoch uint32, reset bool) stateMachine {
	if id == LedgerGroup {
		return newLedger()
	}
	return newShard(h.cfg.MaxShardBytes, h.cfg.Format, epoch, reset)
}

// Next is when a Tick is due.
func (h *Host) NextTick() clock.Micros { return h.nextTick }

// Handle takes in one event. What comes of it is told by Flush.
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
		if !h.shutdown.draining {
			h.shutdown.draining, h.shutdown.deadline = true, h.now+drainTimeoutTicks*h.cfg.Tick
			for _, g := range h.sortedGroups() {
				if g.isLeader {
					g.transferLeadership(0)
				}
			}
			h.finishDrain()
		}
	}
}

// inOrder are the replicas by group.
func (h *Host) sortedGroups() (all []*group) {
	for _, id := range slices.Sorted(maps.Keys(h.groups)) {
		all = append(all, h.groups[id])
	}
	return all
}

// Flush carries out what has come together, and returns what is to be done.
func (h *Host) Flush() []Action {
	for range 8 { // what is answered here may lead to more; there is always a next time
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
	for _, to := range slices.Sorted(maps.Keys(h.out.packets)) {
		if p := h.out.packets[to]; h.disk.started {
			h.out.actions = append(h.out.actions, Send{To: to, Body: h.encodePacket(p)})
		}
	}
	clear(h.out.packets)
	if h.disk.started {
		for _, s := range h.out.bulk {
			h.out.actions = append(h.out.actions, s)
		}
	}
	h.out.bulk = nil
	out := h.out.actions
	h.out.actions = nil
	return out
}

// tick lets a tick pass for everything.
func (h *Host) tick() {
	h.ticks++
	h.nextTick += h.cfg.Tick
	if h.nextTick <= h.now { // it stood still: elections and leaders judge by what they hear from now on
		h.nextTick = h.now + h.cfg.Tick
	}
	for _, g := range h.sortedGroups() {
		if h.groups[g.id] != g {
			continue
		}
		g.tick()
		if g.isLeader && !h.shutdown.draining && h.ticks%leaderBalanceTicks == uint64(g.id)%leaderBalanceTicks && h.now-g.leading.since >= leaderBalanceTicks*h.cfg.Tick {
			h.balanceLeader(g)
		}
	}
	if h.ticks%storeHeartbeatTicks == 0 {
		h.sendHeartbeat()
	}
	if g := h.groups[LedgerGroup]; g != nil && g.isLeader && g.recovery == nil {
		h.planPlacement(g)
	}
	if h.isCordoned() { // at each tick, for the library forgets now and then which others are active
		for _, g := range h.sortedGroups() {
			if g.isLeader && len(g.conf.Voters) > 1 && g.node.BasicStatus().LeadTransferee == 0 {
				g.transferLeadership(0)
			}
		}
	}
	h.retryCalls()
	if h.shutdown.draining {
		h.finishDrain()
	}
}

// balance hands a group to the voter whose place it is, where that one follows closely.
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
		if _, apart := maintenanceDuration(h.ledger, s.Name); !apart {
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
