// Package gossip is what gateways say to each other about who is there: one goroutine and one UDP socket around the machine of
// internal/membership. It decides nothing. Later parts of the program hear of members from it and own no socket.
package gossip

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/datagrams"
	"marblespan/internal/membership"
	codec "marblespan/internal/protocol/members"
	"marblespan/internal/protocol/sealed"
	"marblespan/internal/streams"
	"marblespan/internal/transport"
)

// Settings are those of the operators' file. Node, Bind, Advertise and Deployment stay as they are at the start.
type Settings struct {
	Node       string
	Deployment string
	Bind       netip.AddrPort
	Advertise  netip.AddrPort // where others reach it
	Join       []netip.AddrPort
	Keys       []sealed.Key // the first one signs
	Zone       string
	Weight     uint32
	Interval   time.Duration
	// Via is where an advertised address is reached from here, if not there: across a translation of addresses.
	Via map[netip.AddrPort]netip.AddrPort
	// Buffers and Fds are the budgets that streams are opened within, at the same addresses as datagrams; nil: there are none.
	Buffers *transport.Buffers
	Fds     *transport.Descriptors
}

// Clock is a clock that never steps back.
type Clock struct {
	Now  func() clock.Micros
	Time func(clock.Micros) time.Time
}

// Self is what the gateway tells of itself beside its settings.
type Self struct {
	Version  string
	Settings uint64 // digest of its settings
	Flags    membership.Flags
}

// window is how many messages of a sender may overtake one that still counts: an answer that took longer than the next one
// is an answer all the same.
const window = 64

// mostSenders bounds how many senders' order is kept. Only who has a key can fill it.
const mostSenders = 4 * membership.MaxMembers

// sender tells senders apart: two processes may have one name.
type sender struct {
	name string
	at   netip.AddrPort
}

// Counts are the counters since the start.
type Counts struct {
	Sent, SendFailed, Received, SentBytes, Changes, Deaths, Refutations, PathChanges atomic.Int64
	Dropped                                                                          [sealed.FaultCount]atomic.Int64
	Noticed                                                                          [membership.NoticeCount]atomic.Int64
}

// Peers takes part in the membership.
type Agent struct {
	settings Settings
	clock    Clock
	self     func() Self
	told     Self
	log      zerolog.Logger
	loop     *datagrams.Loop
	machine  *membership.Machine
	order    *sealed.ReplayGuard[sender]
	senders  int
	drops    *datagrams.DropLog
	back     map[netip.AddrPort]netip.AddrPort
	left     chan struct{}
	changes  func(membership.MemberChanged)
	places   sync.Map // name to netip.AddrPort, as advertised
	ways     atomic.Pointer[map[netip.AddrPort]netip.AddrPort]

	// Streams carry what is too large for a datagram; nil without.
	Streams *streams.Streams
	Counts  Counts
}

// Start binds the socket and joins. start is the system clock's time, microseconds of Unix time: it tells one life of this
// gateway from the next. self is asked again whenever the goroutine looks at the clock. changes is told of each change of the
// view on that goroutine, and must not wait; nil: nobody is.
func Start(s Settings, clock Clock, start uint64, self func() Self, changes func(membership.MemberChanged), log zerolog.Logger) (*Agent, error) {
	loop, err := datagrams.Listen(s.Bind, codec.MaxSize)
	if err != nil {
		return nil, err
	}
	p := &Agent{
		settings: s, clock: clock, self: self, log: log, loop: loop, order: sealed.NewReplayGuard[sender](start, window),
		drops: datagrams.NewDropLog(log, "members message dropped"), left: make(chan struct{}), changes: changes,
	}
	p.settings.Advertise = advertised(s, loop.Addr())
	p.told = self()
	p.route()
	if s.Buffers != nil {
		if p.Streams, err = streams.Listen(loop.Addr().String(), streams.Settings{
			Node: s.Node, Deployment: s.Deployment, Start: start, Keys: s.Keys, AddressOf: p.place, Buffers: s.Buffers, Fds: s.Fds,
		}); err != nil {
			loop.CloseUnstarted()
			return nil, err
		}
	}
	p.machine = membership.New(membership.Config{
		Name: s.Node, Address: p.settings.Advertise, Generation: start, Interval: micros(s.Interval), Join: s.Join, Seed: start | 1, Meta: p.meta(),
	})
	go loop.Run((*loopHandler)(p))
	return p, nil
}

func advertised(s Settings, bound netip.AddrPort) netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return bound
}

func micros(d time.Duration) clock.Micros { return clock.Micros(d.Microseconds()) }

// meta is what the machine tells of this gateway.
func (p *Agent) meta() membership.Meta {
	return membership.Meta{
		Zone: p.settings.Zone, Weight: p.settings.Weight, Version: p.told.Version, Settings: p.told.Settings, Flags: p.told.Flags,
	}
}

// place is where a member's streams are opened to, also one that is held dead: that may be wrong.
func (p *Agent) place(name string) (string, bool) {
	at, known := p.places.Load(name)
	if !known {
		return "", false
	}
	to := at.(netip.AddrPort)
	if via, other := (*p.ways.Load())[to]; other {
		to = via
	}
	return to.String(), true
}

// route makes the way back from the addresses that others are reached at.
func (p *Agent) route() {
	p.ways.Store(&p.settings.Via)
	p.back = make(map[netip.AddrPort]netip.AddrPort, len(p.settings.Via))
	for at, via := range p.settings.Via {
		p.back[via] = at
	}
}

// Addr is where the socket is bound.
func (p *Agent) Addr() netip.AddrPort { return p.loop.Addr() }

// owner is the peers as their loop sees them.
type loopHandler Agent

// Begin joins.
func (o *loopHandler) Start() { (*Agent)(o).tell(membership.Started{}) }

// Next is when the machine wants to look at the clock.
func (o *loopHandler) NextTimer() time.Time {
	if at, ok := o.machine.Next(); ok {
		return o.clock.Time(at)
	}
	return time.Time{}
}

// Look has the machine look at the clock, and tells it if the gateway tells other things of itself.
func (o *loopHandler) CheckTimers() {
	p := (*Agent)(o)
	if now := p.self(); now != p.told {
		p.told = now
		p.tell(membership.MetaUpdated{Meta: p.meta()})
	}
	if at, ok := p.machine.Next(); ok && p.clock.Now() >= at {
		p.tell(membership.Tick{})
	}
}

// Receive checks one datagram and hands it to the machine.
func (o *loopHandler) HandleDatagram(b []byte, from netip.AddrPort) {
	p := (*Agent)(o)
	p.Counts.Received.Add(1)
	m, fault := p.check(b, from)
	if fault != sealed.NoFault {
		p.drop(fault, from)
		return
	}
	if at, known := p.back[from]; known {
		from = at
	}
	p.tell(membership.MessageReceived{Source: from, Message: m})
}

func (p *Agent) check(b []byte, from netip.AddrPort) (membership.Message, sealed.Fault) {
	m, t, fault := codec.Parse(b, p.settings.Deployment, p.settings.Keys)
	if fault != sealed.NoFault {
		return m, fault
	}
	s := sender{m.From, from}
	if p.order.KnownStart(s) == 0 {
		if p.senders++; p.senders > mostSenders {
			p.senders = 0
			p.order.Retain(func(sender) bool { return false })
		}
	}
	fresh, moved := p.order.Accept(s, sealed.MessageID{Start: t.Start, Sequence: t.Sequence}, t.ReceiverStart)
	if moved {
		p.log.Warn().Str("peer", m.From).Msg("peers know a later start of this gateway: its clock was set back; moved past it")
	}
	if !fresh {
		return m, sealed.Replayed
	}
	return m, sealed.NoFault
}

// drop counts and logs a datagram that check rejected.
func (p *Agent) drop(fault sealed.Fault, from netip.AddrPort) {
	p.Counts.Dropped[fault].Add(1)
	p.drops.Dropped(fault.Name(), from)
}

// tell hands an event to the machine and carries out what comes of it.
func (p *Agent) tell(ev membership.Event) {
	for _, a := range p.machine.Handle(p.clock.Now(), ev) {
		switch a := a.(type) {
		case membership.Send:
			p.send(a)
		case membership.MemberChanged:
			p.changed(a)
		case membership.PathChanged:
			p.Counts.PathChanges.Add(1)
			p.log.Info().Str("member", a.State.Peer).Bool("unheard", a.State.OutboundLost).Bool("deaf", a.State.InboundLost).Msg("member path")
		case membership.Notice:
			p.Counts.Noticed[a.Kind].Add(1)
			p.noticed(a)
		case membership.LeaveCompleted:
			close(p.left)
		}
	}
}

func (p *Agent) send(a membership.Send) {
	to := a.Address
	if via, known := p.settings.Via[to]; known {
		to = via
	}
	o := p.order.NextID()
	b, err := codec.Append(nil, a.Message, sealed.Trailer{
		Start: o.Start, Sequence: o.Sequence, ReceiverStart: p.order.KnownStart(sender{a.Message.To, to}),
	}, p.settings.Deployment, p.settings.Keys[0])
	if err == nil {
		err = p.loop.Send(b, to)
	}
	if err != nil {
		p.Counts.SendFailed.Add(1)
		return
	}
	p.Counts.Sent.Add(1)
	p.Counts.SentBytes.Add(int64(len(b)))
}

func (p *Agent) changed(a membership.MemberChanged) {
	p.Counts.Changes.Add(1)
	p.places.Store(a.Name, a.Address)
	if a.State == membership.Dead {
		p.Counts.Deaths.Add(1)
	}
	if p.changes != nil {
		p.changes(a)
	}
	level := p.log.Info()
	if a.State == membership.Suspect || a.State == a.Previous && !a.NewGeneration {
		level = p.log.Debug() // most suspicions are refuted; the counters tell of them
	}
	level.Str("member", a.Name).Uint64("life", a.Generation).Stringer("from", a.Previous).Stringer("to", a.State).Bool("new", a.NewGeneration).
		Str("by", a.ReportedBy).Str("at", a.Address.String()).Msg("member")
}

func (p *Agent) noticed(a membership.Notice) {
	level := p.log.Warn()
	if a.Kind == membership.SuspicionRefuted {
		p.Counts.Refutations.Add(1)
		level = p.log.Debug()
	}
	if level = level.Stringer("what", a.Kind); a.ReportedBy != "" {
		level = level.Str("by", a.ReportedBy)
	}
	if a.Address.IsValid() {
		level = level.Str("at", a.Address.String())
	}
	if a.Generation != 0 {
		level = level.Uint64("life", a.Generation)
	}
	if a.StallDuration != 0 {
		level = level.Int64("for_ms", int64(a.StallDuration)/1000)
	}
	level.Msg("membership")
}

// Reload takes over keys, addresses to join at, ways, zone, weight and interval.
func (p *Agent) Reload(next Settings) {
	p.loop.Do(func() {
		next.Node, next.Deployment, next.Bind, next.Advertise = p.settings.Node, p.settings.Deployment, p.settings.Bind, p.settings.Advertise
		p.settings = next
		p.route()
		if p.Streams != nil {
			p.Streams.SetKeys(next.Keys)
		}
		p.tell(membership.Reconfigured{Interval: micros(next.Interval), Join: next.Join})
		p.tell(membership.MetaUpdated{Meta: p.meta()})
	})
}

// leaveBy is how long Close waits at the most until the others have been told that this gateway leaves.
const leaveBy = 500 * time.Millisecond

// Leave tells the others that this gateway leaves. It does not wait until they know.
func (p *Agent) Leave() { p.loop.Do(func() { p.tell(membership.LeaveRequested{}) }) }

// Close leaves, and ends the goroutine.
func (p *Agent) Close() {
	p.Leave()
	select {
	case <-p.left:
	case <-time.After(leaveBy):
	}
	p.loop.Close()
	if p.Streams != nil {
		p.Streams.Close()
	}
}

// Member is how one member stands, for whoever asks.
type Member struct {
	Name           string   `json:"name"`
	Self           bool     `json:"self,omitempty"`
	Address        string   `json:"at"`
	Generation     uint64   `json:"life"`
	Incarnation    uint32   `json:"incarnation"`
	State          string   `json:"state"`
	ForMS          int64    `json:"for_ms"`
	ReportedBy     string   `json:"by,omitempty"`
	HeardMS        int64    `json:"heard_ms_ago"` // -1: never
	RTTMicros      int64    `json:"rtt_us"`
	Zone           string   `json:"zone,omitempty"`
	Weight         uint32   `json:"weight"`
	Version        string   `json:"version"`
	Settings       string   `json:"settings"`
	SettingsDiffer bool     `json:"settings_differ"`
	Flags          []string `json:"flags"`
	BrokenPaths    []string `json:"cut"`
	// Stream is how long a message over a stream and its answer took, in microseconds, or why there was none; only where asked.
	StreamMicros int64  `json:"stream_us,omitempty"`
	StreamFault  string `json:"stream_fault,omitempty"`
}

// Status is how this gateway sees everybody.
type Status struct {
	Node        string   `json:"node"`
	Excluded    bool     `json:"left_out"` // another process has its name
	LocalHealth int      `json:"health"`   // 1: well; it stretches its spans by so much
	Members     []Member `json:"members"`
}

// flagNames are the flags as answers name them.
var flagNames = []struct {
	flag membership.Flags
	name string
}{{membership.Draining, "draining"}, {membership.Stalled, "stood still"}, {membership.NoDisk, "no disk"}}

// Status tells how everybody stands.
func (p *Agent) Status() (s Status) {
	p.loop.Do(func() {
		now := p.clock.Now()
		own := p.machine.Self()
		s = Status{Node: own.Name, Excluded: p.machine.Excluded(), LocalHealth: p.machine.LocalHealth(), Members: []Member{}}
		for _, v := range p.machine.Members() {
			m := Member{
				Name: v.Name, Self: v.Self, Address: v.Address.String(), Generation: v.Generation, Incarnation: v.Incarnation, State: v.State.String(),
				ForMS: int64(now-v.Since) / 1000, ReportedBy: v.ReportedBy, HeardMS: -1, RTTMicros: int64(v.RTT), Zone: v.Meta.Zone, Weight: v.Meta.Weight,
				Version: v.Meta.Version, Settings: hex(v.Meta.Settings), SettingsDiffer: v.Meta.Settings != own.Meta.Settings,
				Flags: []string{}, BrokenPaths: []string{},
			}
			if v.LastReceived > 0 {
				m.HeardMS = int64(now-v.LastReceived) / 1000
			}
			for _, f := range flagNames {
				if v.Meta.Flags&f.flag != 0 {
					m.Flags = append(m.Flags, f.name)
				}
			}
			for _, c := range v.BrokenPaths {
				m.BrokenPaths = append(m.BrokenPaths, cut(c)...)
			}
			s.Members = append(s.Members, m)
		}
		slices.SortStableFunc(s.Members[1:], func(a, b Member) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
	})
	return s
}

// reachBy is how long streams are tried for a status.
const reachBy = 1500 * time.Millisecond

// StatusWithStreams tells how everybody stands, and tries a stream to each that lives and back.
func (p *Agent) StatusWithStreams() Status {
	s := p.Status()
	by := time.Now().Add(reachBy)
	var all sync.WaitGroup
	for i := range s.Members {
		m := &s.Members[i]
		if m.Self || p.Streams == nil || m.State != membership.Alive.String() && m.State != membership.Suspect.String() {
			continue
		}
		all.Go(func() {
			took, err := p.Streams.Ping(m.Name, by)
			if m.StreamMicros = took.Microseconds(); err != nil {
				m.StreamFault = err.Error()
			}
		})
	}
	all.Wait()
	return s
}

// cut says which directions of a path are cut, as from -> to.
func cut(c membership.PathState) (all []string) {
	if c.OutboundLost {
		all = append(all, c.Reporter+" -> "+c.Peer)
	}
	if c.InboundLost {
		all = append(all, c.Peer+" -> "+c.Reporter)
	}
	return all
}

func hex(v uint64) string {
	const digits = "0123456789abcdef"
	b := make([]byte, 16)
	for i := range b {
		b[15-i] = digits[v&15]
		v >>= 4
	}
	return string(b)
}
