package gateway

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/config"
	"marblespan/internal/intents"
	"marblespan/internal/maintenance"
	"marblespan/internal/membership"
	"marblespan/internal/policy"
	"marblespan/internal/routing"
	"marblespan/internal/streams"
)

// Store is this gateway's part in the state store (internal/raftnode). It is linked into a program of its own, for what it needs costs
// memory that a gateway without it must not pay: OpenStore is nil in the smaller program. No method but TransferLeadership, Close,
// those of operators' commands and of status blocks; functions that are passed as done must not block either.
type Store interface {
	// Available tells whether a call about a key is likely to succeed now.
	Available(key []byte) bool
	// RaisePosition raises the position under a key to at least a value, to be kept for ttl. done is called with true if it is stored.
	RaisePosition(key []byte, position uint64, ttl time.Duration, deadline time.Time, done func(bool))
	// ReadPosition reads the position under a key. known is false if it could not be read in time, or may have been lost.
	ReadPosition(key []byte, deadline time.Time, done func(position uint64, known bool))
	intents.Store
	Status() StateStoreStatus
	// Bootstrap makes a new store; first tells that there was none before whose records could be missed.
	Bootstrap(shards, voters int, first bool) error
	// RemoveStore records that a gateway's disk will never come back; ResetShard gives up what a shard held. Both must be called where
	// the ledger is led.
	RemoveStore(node string) error
	ResetShard(shard uint32) error
	// SetMaintenanceReport passes on what this incarnation of the gateway reports for the maintenance order. RunMaintenanceCommand
	// passes an operator's command to the ledger and returns its reply; MaintenanceListing is the order as the ledger's leader has it
	// or, with an error, as it is known here.
	SetMaintenanceReport(incarnation uint64, r maintenance.Report)
	RunMaintenanceCommand(c maintenance.Command, deadline time.Time) (reply string, err error)
	MaintenanceListing(deadline time.Time) (maintenance.Listing, error)
	SetMaintenanceLimits(maintenance.Limits)
	LogCounters()
	// TransferLeadership waits, a second at most, until others lead the groups that are led here.
	TransferLeadership()
	Close()
}

// StoreSettings is what a store is opened with.
type StoreSettings struct {
	StateStore *config.StateStore
	Node, Zone string
	Weight     uint32
	Clock      routing.Clock
	Streams    *streams.Streams
	LivePeers  func() []string
	Log        zerolog.Logger
	// MaintenanceLimits is nil where no machine is taken out for maintenance; Members and OnOrder are used otherwise only.
	MaintenanceLimits *maintenance.Limits
	Members           func() []maintenance.Member
	OnOrder           func(index uint64, o *maintenance.Order)
}

// OpenStore opens the state store. It is set before the gateway starts, by the program that has one (internal/raftgateway).
var OpenStore func(StoreSettings) (Store, error)

// CheckStore prints what is in a store's file that no gateway has open. It is set with OpenStore.
var CheckStore func(path string, raw bool, out io.Writer) error

// sessionPositions keeps the positions of sessions' last commits in the state store, so that their reads see them through any
// gateway. Before the store is open nothing is stored, and every read of such a session must see all there is.
type sessionPositions struct {
	clock     routing.Clock
	classes   map[string]bool
	fast      bool // an answer does not wait until its position is stored
	retention time.Duration
	store     atomic.Pointer[Store]

	Promised, NotStored, Lookups, Found, Unknown, Ahead atomic.Int64
}

// newSessionPositions makes what the operators' file asks for; nil: no class's sessions are stored.
func newSessionPositions(ops *config.Operators, clock routing.Clock) *sessionPositions {
	if ops.StateStore == nil || len(ops.StateStore.SessionMarks) == 0 {
		return nil
	}
	p := &sessionPositions{clock: clock, classes: map[string]bool{}, fast: ops.StateStore.MarksMode == "fast", retention: ops.StateStore.MarksTTL}
	for _, class := range ops.StateStore.SessionMarks {
		p.classes[class] = true
	}
	return p
}

// Covers tells whether a class's sessions are stored.
func (p *sessionPositions) Covers(class string) bool { return p.classes[class] }

// CanStore tells whether a session's position is likely to be stored now. Where answers do not wait for that, it need not be.
func (p *sessionPositions) CanStore(group int, session uint64) bool {
	s := p.store.Load()
	return p.fast || s != nil && (*s).Available(sessionKey(group, session))
}

// sessionKey is the store's key of a session of a replication group.
func sessionKey(group int, session uint64) []byte {
	b := binary.BigEndian.AppendUint32([]byte("session "), uint32(group))
	return binary.BigEndian.AppendUint64(b, session)
}

// Store stores the position of a session's commit. done is called with whether the answer may be given.
func (p *sessionPositions) Store(group int, session uint64, position policy.Position, deadline time.Time, done func(bool)) {
	stored := func(ok bool) {
		if ok {
			p.Promised.Add(1)
		} else {
			p.NotStored.Add(1)
		}
		if !p.fast {
			done(ok)
		}
	}
	if p.fast {
		done(true)
	}
	s := p.store.Load()
	if s == nil {
		stored(false)
		return
	}
	(*s).RaisePosition(sessionKey(group, session), uint64(position), p.retention, deadline, stored)
}

// Required finds the position that a session's read must see. Where it cannot be had that is all there is: the primary has it.
// So it is where the stored position lies ahead of everything, as after a failover that has lost commits: nobody waits for
// what will not come.
func (p *sessionPositions) Required(group int, session uint64, deadline time.Time, done func(policy.Position)) {
	p.Lookups.Add(1)
	s := p.store.Load()
	if s == nil {
		p.Unknown.Add(1)
		done(p.clock.Now())
		return
	}
	(*s).ReadPosition(sessionKey(group, session), deadline, func(value uint64, known bool) {
		now, position := p.clock.Now(), policy.Position(value)
		switch {
		case !known:
			p.Unknown.Add(1)
			position = now
		case position > now:
			p.Ahead.Add(1)
			position = now
		case position > 0:
			p.Found.Add(1)
		}
		done(position)
	})
}

// startStore opens the state store. Its goroutines end with Store.Close.
func (g *Gateway) startStore() error {
	c := g.operators.StateStore
	if OpenStore == nil {
		return errors.New("this program has no store; marblespan-raft has")
	}
	s, err := OpenStore(StoreSettings{
		StateStore: c, Node: g.operators.Members.Node, Zone: g.operators.Members.Zone, Weight: g.operators.Members.Weight, Clock: g.clock,
		Streams: g.members.gossip.Streams, LivePeers: g.members.names, Log: g.log,
		MaintenanceLimits: maintenanceLimits(g.operators), Members: g.members.presences, OnOrder: g.maintenance.orderChanged,
	})
	if err != nil {
		return err
	}
	g.store = s
	g.descriptors.Reserve(2) // its files
	if g.positions != nil {
		g.positions.store.Store(&g.store)
	}
	if g.intents != nil {
		g.intents.SetStore(s)
	}
	return nil
}

// answerStateStore answers operators' commands and questions about the state store.
func (g *Gateway) answerStateStore(words []string) (any, error) {
	if g.store == nil {
		return nil, errors.New("this gateway has no copies section")
	}
	switch {
	case len(words) == 0:
		return g.store.Status(), nil
	case words[0] == "found" && len(words) <= 2:
		return "founded", g.store.Bootstrap(g.operators.StateStore.Shards, g.operators.StateStore.Voters, len(words) == 2 && words[1] == "first")
	case words[0] == "gone" && len(words) == 2:
		name, err := strconv.Unquote(words[1])
		if err != nil {
			return nil, fmt.Errorf("%s is no name", words[1])
		}
		return "noted", g.store.RemoveStore(name)
	case words[0] == "anew" && len(words) == 2:
		shard, err := strconv.ParseUint(words[1], 10, 32)
		if err != nil {
			return nil, fmt.Errorf("%s is no shard", words[1])
		}
		return "noted", g.store.ResetShard(uint32(shard))
	}
	return nil, fmt.Errorf("unknown question %.40q", "copies "+strings.Join(words, " "))
}

// logStoreCounters logs the counters of the state store and of session positions.
func (g *Gateway) logStoreCounters() {
	if g.store != nil {
		g.store.LogCounters()
	}
	if m := g.positions; m != nil {
		g.log.Info().Int64("promised", m.Promised.Load()).Int64("unkept", m.NotStored.Load()).Int64("asked", m.Lookups.Load()).
			Int64("found", m.Found.Load()).Int64("unknown", m.Unknown.Load()).Int64("ahead", m.Ahead.Load()).
			Int64("refused_unsent", g.clients.Counts.PositionNotStored.Load()).Msg("session position counters")
	}
}

// names lists the other members that live.
func (m *members) names() []string { return *m.alive.Load() }

// memberChanged keeps the list of members that are alive, and tells the resolver of in-doubt writes whose incarnations have
// ended.
func (m *members) memberChanged(c membership.MemberChanged) {
	if c.Name == m.g.operators.Members.Node {
		return
	}
	if m.known != nil {
		m.recordPresence(c)
	}
	if b := m.g.intents; b != nil && c.State.Ended() {
		b.GatewayEnded(c.Name, c.Generation)
	} else if b != nil && c.Generation > 0 {
		b.GatewayEnded(c.Name, c.Generation-1) // all before this one
	}
	var next []string
	for _, name := range m.names() {
		if name != c.Name {
			next = append(next, name)
		}
	}
	if !c.State.Ended() {
		next = append(next, c.Name)
	}
	m.alive.Store(&next)
}
