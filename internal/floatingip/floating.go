// Package floatingip joins the VRRP machines to the network: one goroutine that reads and writes one UDP socket and owns every
// group's machine. It decides nothing; what a machine asks for is carried out here or by the program's Address.
package floatingip

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/datagrams"
	"marblespan/internal/protocol/sealed"
	codec "marblespan/internal/protocol/vrrp"
	"marblespan/internal/vrrp"
)

// Address is what the program does when an address is won or lost. Neither may wait for clients.
type Address interface {
	// Take opens the listener of a group. gate tells, at any moment and from any goroutine, whether the tenure may still
	// take new work.
	Take(group string, listen netip.AddrPort, gate func() bool) error
	// Release stops listening and lets go of the clients once they have their answers.
	Release(group string)
}

// Peer is another gateway.
type Peer struct {
	Node    uint8
	Address netip.AddrPort
}

// Group is one floating address.
type Group struct {
	Name      string
	Addresses []netip.Addr
	Listen    netip.AddrPort
	Machine   vrrp.Config
	// Lingers: a gateway that is to end keeps the address, with its lowered priority, until somebody takes it.
	Lingers bool
}

// Settings are what a reload may change, but for each group's name, addresses and listener.
type Settings struct {
	Node     uint8
	Bind     netip.AddrPort
	Peers    []Peer
	Keys     []codec.Key // the first one signs
	Announce []netip.AddrPort
	Groups   []Group
}

// Clock is a clock that never steps back.
type Clock struct {
	Now  func() clock.Micros
	Time func(clock.Micros) time.Time
}

// Speaker takes part in VRRP for all groups of a gateway.
type Speaker struct {
	settings Settings
	clock    Clock
	address  Address
	health   func() vrrp.Health
	log      zerolog.Logger

	loop    *datagrams.Loop
	origins *sealed.ReplayGuard[uint8]
	groups  []*group
	last    vrrp.Health
	drops   *datagrams.DropLog

	Counts Counts
}

// Counts are the speaker's counters since its start.
type Counts struct {
	Sent, SendFailed, Received, Announced, Tenures, Moved atomic.Int64
	Dropped                                               [sealed.FaultCount]atomic.Int64
	Lost                                                  [vrrp.CauseCount]atomic.Int64 // by cause
}

type group struct {
	Group
	machine vrrp.Machine
	lease   atomic.Int64 // until when new work may be taken
}

// Start binds the socket and starts every group. start is the system clock's time, microseconds of Unix time: it only
// tells one life of this gateway from the next.
func Start(s Settings, clock Clock, start uint64, address Address, health func() vrrp.Health, log zerolog.Logger) (
	*Speaker, error,
) {
	loop, err := datagrams.Listen(s.Bind, codec.MaxSize)
	if err != nil {
		return nil, err
	}
	sp := &Speaker{
		settings: s, clock: clock, address: address, health: health, log: log, loop: loop,
		origins: sealed.NewReplayGuard[uint8](start, 0), drops: datagrams.NewDropLog(log, "vrrp message dropped"),
	}
	for _, g := range s.Groups {
		sp.groups = append(sp.groups, &group{Group: g, machine: vrrp.New(g.Machine)})
	}
	go loop.Run((*loopHandler)(sp))
	return sp, nil
}

// Addr is where the speaker is heard.
func (s *Speaker) Addr() netip.AddrPort { return s.loop.Addr() }

// Broken counts errors of the socket that came instead of a datagram.
func (s *Speaker) Broken() int64 { return s.loop.SocketErrors.Load() }

// ask runs a function on the speaker's goroutine and waits for it. It tells whether it ran.
func (s *Speaker) ask(do func()) bool { return s.loop.Do(do) }

// loopHandler is the speaker as its loop calls it.
type loopHandler Speaker

// Start starts every group.
func (o *loopHandler) Start() {
	s := (*Speaker)(o)
	s.look()
	for _, g := range s.groups {
		s.tell(g, vrrp.Startup{})
	}
}

// NextTimer is when the next timer of a machine is due.
func (o *loopHandler) NextTimer() (next time.Time) {
	for _, g := range o.groups {
		if at, ok := g.machine.Next(); ok {
			if t := o.clock.Time(at); next.IsZero() || t.Before(next) {
				next = t
			}
		}
	}
	return next
}

// HandleDatagram checks one datagram, and hands it to its group's machine or drops it.
func (o *loopHandler) HandleDatagram(b []byte, from netip.AddrPort) { (*Speaker)(o).receive(b, from) }

// CheckTimers tells the machines of the gateway's health, and has them do what is due.
func (o *loopHandler) CheckTimers() {
	s := (*Speaker)(o)
	s.look()
	now := s.clock.Now()
	for _, g := range s.groups {
		if at, ok := g.machine.Next(); ok && now >= at {
			s.tell(g, vrrp.Tick{})
		}
	}
}

// look tells the machines how the gateway is, if that has changed.
func (s *Speaker) look() {
	if h := s.health(); h != s.last {
		s.last = h
		for _, g := range s.groups {
			s.tell(g, vrrp.HealthChanged{Health: h})
		}
	}
}

// tell hands an event to a machine and carries out what comes of it.
func (s *Speaker) tell(g *group, ev vrrp.Event) {
	held := g.machine.State() == vrrp.Active
	actions := g.machine.Handle(s.clock.Now(), ev)
	if held && g.machine.State() != vrrp.Active {
		g.lease.Store(0)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case vrrp.Activate:
			s.Counts.Tenures.Add(1)
			if err := s.address.Take(g.Name, g.Listen, s.gate(g)); err != nil {
				s.log.Error().Err(err).Str("group", g.Name).Msg("floating listener")
				s.tell(g, vrrp.ActivateFailed(a))
				return
			}
		case vrrp.Deactivate:
			s.Counts.Lost[a.Cause].Add(1)
			s.address.Release(g.Name)
		case vrrp.SendAdvertisement:
			s.advertise(g, a)
			// Only now: had the process stopped before, its peers would have heard nothing.
			g.lease.Store(int64(g.machine.Lease()))
		case vrrp.AnnounceAddress:
			s.announce(g)
		case vrrp.StateChanged:
			s.log.Info().Str("group", g.Name).Stringer("from", a.From).Stringer("to", a.To).Stringer("cause", a.Cause).
				Uint8("priority", g.machine.Priority()).Uint32("tenure", g.machine.Activation()).Msg("vrrp")
		}
	}
}

// gate is the tenure's leave to take new work. It reads the clock itself: a goroutine that wakes from a stop before the
// speaker does is held back too.
func (s *Speaker) gate(g *group) func() bool {
	return func() bool { return int64(s.clock.Now()) <= g.lease.Load() }
}

func (s *Speaker) advertise(g *group, a vrrp.SendAdvertisement) {
	for _, p := range s.settings.Peers {
		o := s.origins.NextID()
		b, err := codec.Append(nil, codec.Message{
			VRID: g.Machine.VRID, Priority: a.Priority, Interval: int64(a.AdvertisementInterval), Addresses: g.Addresses,
			Trailer: codec.Trailer{
				Sender: s.settings.Node, Receiver: p.Node, Start: o.Start, Sequence: o.Sequence, ReceiverStart: s.origins.KnownStart(p.Node),
			},
		}, s.settings.Bind.Addr(), p.Address.Addr(), s.settings.Keys[0])
		s.send(b, err, p.Address, &s.Counts.Sent)
	}
}

// send writes one datagram, unless it could not be made, and counts it.
func (s *Speaker) send(b []byte, err error, to netip.AddrPort, sent *atomic.Int64) {
	if err == nil {
		err = s.loop.Send(b, to)
	}
	if err != nil {
		sent = &s.Counts.SendFailed
	}
	sent.Add(1)
}

func (s *Speaker) announce(g *group) {
	for _, to := range s.settings.Announce {
		o := s.origins.NextID()
		b, err := codec.AppendAnnouncement(nil, codec.Announcement{
			VRID: g.Machine.VRID, Sender: s.settings.Node, Start: o.Start, Sequence: o.Sequence, Listen: g.Listen,
			Addresses: g.Addresses,
		}, s.settings.Keys[0])
		s.send(b, err, to, &s.Counts.Announced)
	}
}

// receive checks one datagram and hands it to its group's machine.
func (s *Speaker) receive(b []byte, from netip.AddrPort) {
	s.Counts.Received.Add(1)
	g, m, fault := s.check(b, from)
	if fault != sealed.NoFault {
		s.drop(fault, from)
		return
	}
	s.tell(g, vrrp.AdvertisementReceived{From: from.Addr(), Priority: m.Priority, AdvertisementInterval: clock.Micros(m.Interval)})
}

// check finds the group of a datagram and verifies that it is of a peer, authentic (codec.Parse) and new. It does the cheap
// checks first: strangers cost no signature.
func (s *Speaker) check(b []byte, from netip.AddrPort) (*group, codec.Message, sealed.Fault) {
	var none codec.Message
	var peer *Peer
	for i := range s.settings.Peers {
		if s.settings.Peers[i].Address == from {
			peer = &s.settings.Peers[i]
		}
	}
	if peer == nil {
		return nil, none, sealed.WrongSource
	}
	vrid, ok := codec.VRID(b)
	if !ok {
		return nil, none, sealed.BadLength
	}
	var g *group
	for _, x := range s.groups {
		if x.Machine.VRID == vrid {
			g = x
		}
	}
	if g == nil {
		return nil, none, sealed.UnknownVRID
	}
	m, fault := codec.Parse(b, g.Addresses[0].Is4(), from.Addr(), s.settings.Bind.Addr(), s.settings.Keys)
	if fault != sealed.NoFault {
		return nil, none, fault
	}
	if m.Sender != peer.Node || m.Receiver != s.settings.Node {
		return nil, none, sealed.WrongPeer
	}
	fresh, moved := s.origins.Accept(m.Sender, sealed.MessageID{Start: m.Start, Sequence: m.Sequence}, m.ReceiverStart)
	if moved {
		s.Counts.Moved.Add(1)
		s.log.Warn().Uint8("peer", m.Sender).Msg("peers know a later start of this gateway: its clock was set back; moved past it")
	}
	if !fresh {
		return nil, none, sealed.Replayed
	}
	if !slices.Equal(m.Addresses, g.Addresses) {
		return nil, none, sealed.OtherAddress
	}
	return g, m, sealed.NoFault
}

// drop counts and logs a datagram that check rejected.
func (s *Speaker) drop(fault sealed.Fault, from netip.AddrPort) {
	s.Counts.Dropped[fault].Add(1)
	s.drops.Dropped(fault.Name(), from)
}

// Reload takes over new peers, keys, announcements and the machines' settings. A group's name, addresses and listener
// stay; groups are matched by name.
func (s *Speaker) Reload(next Settings) {
	s.ask(func() {
		next.Node, next.Bind = s.settings.Node, s.settings.Bind
		byName := map[string]Group{}
		for _, g := range next.Groups {
			byName[g.Name] = g
		}
		s.settings = next
		s.origins.Retain(func(node uint8) bool {
			return slices.ContainsFunc(next.Peers, func(p Peer) bool { return p.Node == node })
		})
		for _, g := range s.groups {
			if n, ok := byName[g.Name]; ok {
				g.Lingers = n.Lingers
				g.Machine.Priority, g.Machine.AdvertisementInterval = n.Machine.Priority, n.Machine.AdvertisementInterval
				s.tell(g, vrrp.ConfigChanged{Config: n.Machine})
			}
		}
	})
}

// GiveUp releases every address, at once. Groups that linger do so only when last is set.
func (s *Speaker) GiveUp(last bool) {
	s.ask(func() {
		for _, g := range s.groups {
			if last || !g.Lingers {
				s.tell(g, vrrp.Shutdown{})
			}
		}
	})
}

// Resume has every group that was given up take part again.
func (s *Speaker) Resume() {
	s.ask(func() {
		for _, g := range s.groups {
			s.tell(g, vrrp.Startup{})
		}
	})
}

// Close releases what is still held and ends the goroutine.
func (s *Speaker) Close() {
	s.GiveUp(true)
	s.loop.Close()
}

// Status is how one group stands.
type Status struct {
	Group     string   `json:"group"`
	VRID      uint8    `json:"vrid"`
	Addresses []string `json:"addresses"`
	State     string   `json:"state"`
	ForMS     int64    `json:"for_ms"`
	Priority  uint8    `json:"priority"`
	Settings  uint8    `json:"priority_of_settings"`
	Ready     bool     `json:"ready"`
	Wrong     []string `json:"wrong"`
	Holder    string   `json:"holder,omitempty"`
	Tenure    uint32   `json:"tenure"`
	HeldMS    int64    `json:"held_back_ms"`
}

// Status tells how every group stands.
func (s *Speaker) Status() (all []Status) {
	s.ask(func() {
		now := s.clock.Now()
		for _, g := range s.groups {
			m := &g.machine
			st := Status{
				Group: g.Name, VRID: g.Machine.VRID, State: m.State().String(), ForMS: int64(now-m.Since()) / 1000,
				Priority: m.Priority(), Settings: g.Machine.Priority, Ready: m.Ready(), Tenure: m.Activation(), Wrong: []string{},
				HeldMS: int64(max(m.PreemptBlockedUntil()-now, 0)) / 1000,
			}
			for _, a := range g.Addresses {
				st.Addresses = append(st.Addresses, a.String())
			}
			for c, wrong := range s.last.Conditions {
				if wrong {
					st.Wrong = append(st.Wrong, vrrp.ConditionNames[c])
				}
			}
			if m.State() == vrrp.Backup && m.ActiveRouter().IsValid() {
				st.Holder = m.ActiveRouter().String()
			}
			all = append(all, st)
		}
	})
	return all
}

// Stall keeps the speaker's goroutine from running for a while, for tests of what happens when the process stands still.
func (s *Speaker) Stall(span time.Duration) { s.ask(func() { time.Sleep(span) }) }
