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

// Store is this gateway's node of the state store (internal/raftnode). The implementation is linked only into a separate program
// (internal/raftgateway), because the packages that it needs take memory even when unused. In the smaller program, OpenStore is
// nil.
//
// Only TransferLeadership, Close and the methods for operators' commands and for status may block. Functions that are passed as
// done must not block.
type Store interface {
	// Available reports whether a call for a key is likely to succeed now.
	Available(key []byte) bool
	// RaisePosition raises the position stored under a key to at least a value, and keeps it for ttl. It calls done with whether
	// the position is stored.
	RaisePosition(key []byte, position uint64, ttl time.Duration, deadline time.Time, done func(bool))
	// ReadPosition reads the position stored under a key and passes it to done. known is false if the position could not be read
	// in time or may have been lost.
	ReadPosition(key []byte, deadline time.Time, done func(position uint64, known bool))
	intents.Store
	Status() StateStoreStatus
	// Bootstrap creates a new store. first states that no store existed before, so that no records can be missing from the new one.
	Bootstrap(shards, voters int, first bool) error
	// RemoveStore records that a gateway's disk is permanently lost. ResetShard abandons the records of a shard. Both must be
	// called on the gateway that leads the ledger.
	RemoveStore(node string) error
	ResetShard(shard uint32) error
	// SetMaintenanceReport sets the report that this incarnation of the gateway sends for the maintenance order.
	// RunMaintenanceCommand passes an operator's command to the ledger and returns the reply. MaintenanceListing returns the
	// order as the ledger's leader has it or, with an error, as this gateway last knew it.
	SetMaintenanceReport(incarnation uint64, r maintenance.Report)
	RunMaintenanceCommand(c maintenance.Command, deadline time.Time) (reply string, err error)
	MaintenanceListing(deadline time.Time) (maintenance.Listing, error)
	SetMaintenanceLimits(maintenance.Limits)
	LogCounters()
	// TransferLeadership hands the leadership of all Raft groups led by this gateway to other gateways. It waits until
	// that is done, but at most a second.
	TransferLeadership()
	Close()
}

// StoreSettings holds the settings and dependencies with which a store is opened.
type StoreSettings struct {
	StateStore *config.StateStore
	Node, Zone string
	Weight     uint32
	Clock      routing.Clock
	Streams    *streams.Streams
	LivePeers  func() []string
	Log        zerolog.Logger
	// MaintenanceLimits is nil if there is no maintenance section. Members and OnOrder are used only if it is not nil.
	MaintenanceLimits *maintenance.Limits
	Members           func() []maintenance.Member
	OnOrder           func(index uint64, o *maintenance.Order)
}

// OpenStore opens the state store. The program that has a state store (internal/raftgateway) sets it before the gateway starts.
var OpenStore func(StoreSettings) (Store, error)

// CheckStore prints the contents of a store's file, which no gateway may have open. It is set together with OpenStore.
var CheckStore func(path string, raw bool, out io.Writer) error

// sessionPositions keeps the log positions of sessions' last commits in the state store, so that a session's reads see its
// commits through any gateway. Until the store is open, nothing is stored, and every read of a session of these classes must see
// all commits up to the time of the read.
type sessionPositions struct {
	clock     routing.Clock
	classes   map[string]bool
	fast      bool // the answers to writes are delivered without waiting for the writes' log positions to be stored
	retention time.Duration
	store     atomic.Pointer[Store]

	Stored, NotStored, Lookups, Found, Unknown, Ahead atomic.Int64
}

// newSessionPositions creates the session positions that the operators' file configures, or returns nil if it names no class
// whose session positions are stored.
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

// Covers reports whether the positions of a class's sessions are stored.
func (p *sessionPositions) Covers(class string) bool { return p.classes[class] }

// CanStore reports whether a write of a session may be sent now. It is false if the session's position probably could not be
// stored; if answers do not wait for the position to be stored, CanStore always returns true.
func (p *sessionPositions) CanStore(group int, session uint64) bool {
	s := p.store.Load()
	return p.fast || s != nil && (*s).Available(sessionKey(group, session))
}

// sessionKey returns the key under which the state store keeps the position of a session of a replication group.
func sessionKey(group int, session uint64) []byte {
	b := binary.BigEndian.AppendUint32([]byte("session "), uint32(group))
	return binary.BigEndian.AppendUint64(b, session)
}

// Store stores the position of a session's commit. It calls done with whether the answer may be sent to the client.
func (p *sessionPositions) Store(group int, session uint64, position policy.Position, deadline time.Time, done func(bool)) {
	stored := func(ok bool) {
		if ok {
			p.Stored.Add(1)
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

// Required calls done with the position that a session's read must see. If the position cannot be read, the read must see
// everything up to now, which the primary has. The same holds if the stored position lies in the future, as after a failover that
// has lost commits: a read that required the stored position would wait for commits that never come.
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
		return errors.New("this program is built without a state store; use marblespan-raft")
	}
	s, err := OpenStore(StoreSettings{
		StateStore: c, Node: g.operators.Members.Node, Zone: g.operators.Members.Zone, Weight: g.operators.Members.Weight, Clock: g.clock,
		Streams: g.members.gossip.Streams, LivePeers: g.members.livePeers, Log: g.log,
		MaintenanceLimits: maintenanceLimits(g.operators), Members: g.members.maintenanceMembers, OnOrder: g.maintenance.orderChanged,
	})
	if err != nil {
		return err
	}
	g.store = s
	g.descriptors.Reserve(2) // the state store's files
	if g.positions != nil {
		g.positions.store.Store(&g.store)
	}
	if g.intents != nil {
		g.intents.SetStore(s)
	}
	return nil
}

// answerStateStore answers operators' questions about the state store and carries out their commands.
func (g *Gateway) answerStateStore(words []string) (any, error) {
	if g.store == nil {
		return nil, errors.New("this gateway has no state-store section")
	}
	switch {
	case len(words) == 0:
		return g.store.Status(), nil
	case words[0] == "found" && len(words) <= 2:
		return "founded", g.store.Bootstrap(g.operators.StateStore.Shards, g.operators.StateStore.Voters, len(words) == 2 && words[1] == "first")
	case words[0] == "gone" && len(words) == 2:
		name, err := strconv.Unquote(words[1])
		if err != nil {
			return nil, fmt.Errorf("invalid gateway name %s: must be a quoted string", words[1])
		}
		return "noted", g.store.RemoveStore(name)
	case words[0] == "anew" && len(words) == 2:
		shard, err := strconv.ParseUint(words[1], 10, 32)
		if err != nil {
			return nil, fmt.Errorf("invalid shard number %q", words[1])
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
		g.log.Info().Int64("promised", m.Stored.Load()).Int64("unkept", m.NotStored.Load()).Int64("asked", m.Lookups.Load()).
			Int64("found", m.Found.Load()).Int64("unknown", m.Unknown.Load()).Int64("ahead", m.Ahead.Load()).
			Int64("refused_unsent", g.clients.Counts.PositionNotStored.Load()).Msg("session position counters")
	}
}

// livePeers returns the names of the other members that are alive.
func (m *members) livePeers() []string { return *m.alive.Load() }

// memberChanged updates the list of live members, and tells the resolver of in-doubt writes which incarnations of the member have
// ended.
func (m *members) memberChanged(c membership.MemberChanged) {
	if c.Name == m.g.operators.Members.Node {
		return
	}
	if m.known != nil {
		m.recordMember(c)
	}
	if b := m.g.intents; b != nil && c.State.Ended() {
		b.GatewayEnded(c.Name, c.Generation)
	} else if b != nil && c.Generation > 0 {
		b.GatewayEnded(c.Name, c.Generation-1) // earlier incarnations have ended
	}
	var next []string
	for _, name := range m.livePeers() {
		if name != c.Name {
			next = append(next, name)
		}
	}
	if !c.State.Ended() {
		next = append(next, c.Name)
	}
	m.alive.Store(&next)
}
