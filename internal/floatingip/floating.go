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
type AddressHandler interface {
	// Take opens the listener of a group. gate tells, at any moment and from any goroutine, whether the tenure may still
	// take new work.
	Activate(group string, listen netip.AddrPort, gate func() bool) error
	// Release stops listening and lets go of the clients once they have their answers.
	Deactivate(group string)
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
	KeepUntilTakenOver bool
}

// Settings are what a reload may change, but for each group's name, addresses and listener.
type Settings struct {
	Node       uint8
	Bind       netip.AddrPort
	Peers      []Peer
	Keys       []codec.Key // the first one signs
	AnnounceTo []netip.AddrPort
	Groups     []Group
}

// Clock is a clock that never steps back.
type Clock struct {
	Now  func() clock.Micros
	Time func(clock.Micros) time.Time
}

// Speaker takes part in VRRP for all groups of a gateway.
type VRRPRouter struct {
	settings Settings
	clock    Clock
	address  AddressHandler
	health   func() vrrp.Health
	log      zerolog.Logger

	loop        *datagrams.Loop
	replayGuard *sealed.ReplayGuard[uint8]
	groups      []*group
	lastHealth  vrrp.Health
	dropLog     *datagrams.DropLog

	Counters Counters
}

// Counts are the speaker's counters since its start.
type Counters struct {
	Sent, SendFailed, Received, Announced, Activations, StartAdvanced atomic.Int64
	Dropped                                                           [sealed.FaultCount]atomic.Int64
	Deactivations                                                     [vrrp.CauseCount]atomic.Int64 // by cause
}

type group struct {
	Group
	machine  vrrp.Machine
	leaseEnd atomic.Int64 // until when new work may be taken
}

// Start binds the socket and starts every group. start is the system clock's time, microseconds of Unix time: it only
// tells one life of this gateway from the next.
func Start(s Settings, clock Clock, start uint64, address AddressHandler, health func() vrrp.Health, log zerolog.Logger) (
	*VRRPRouter, error,
) {
	loop, err := datagrams.Listen(s.Bind, codec.MaxSize)
	if err != nil {
		return nil, err
	}
	sp := &VRRPRouter{
		settings: s, clock: clock, address: address, health: health, log: log, loop: loop,
		replayGuard: sealed.NewReplayGuard[uint8](start, 0), dropLog: datagrams.NewDropLog(log, "vrrp message dropped"),
	}
	for _, g := range s.Groups {
		sp.groups = append(sp.groups, &group{Group: g, machine: vrrp.New(g.Machine)})
	}
	go loop.Run((*loopHandler)(sp))
	return sp, nil
}

// Addr is where the speaker is heard.
func (s *VRRPRouter) Addr() netip.AddrPort { return s.loop.Addr() }

// Broken counts errors of the socket that came instead of a datagram.
func (s *VRRPRouter) SocketErrors() int64 { return s.loop.SocketErrors.Load() }

// ask runs a function on the speaker's goroutine and waits for it. It tells whether it ran.
func (s *VRRPRouter) runOnLoop(do func()) bool { return s.loop.Do(do) }

// loopHandler is the speaker as its loop calls it.
type loopHandler VRRPRouter

// Start starts every group.
func (o *loopHandler) Start() {
	s := (*VRRPRouter)(o)
	s.updateHealth()
	for _, g := range s.groups {
		s.handle(g, vrrp.Startup{})
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
func (o *loopHandler) HandleDatagram(b []byte, from netip.AddrPort) {
	(*VRRPRouter)(o).receive(b, from)
}

// CheckTimers tells the machines of the gateway's health, and has them do what is due.
func (o *loopHandler) CheckTimers() {
	s := (*VRRPRouter)(o)
	s.updateHealth()
	now := s.clock.Now()
	for _, g := range s.groups {
		if at, ok := g.machine.Next(); ok && now >= at {
			s.handle(g, vrrp.Tick{})
		}
	}
}

// look tells the machines how the gateway is, if that has changed.
func (s *VRRPRouter) updateHealth() {
	if h := s.health(); h != s.lastHealth {
		s.lastHealth = h
		for _, g := range s.groups {
			s.handle(g, vrrp.HealthChanged{Health: h})
		}
	}
}

// tell hands an event to a machine and carries out what comes of it.
func (s *VRRPRouter) handle(g *group, ev vrrp.Event) {
	wasActive := g.machine.State() == vrrp.Active
	actions := g.machine.Handle(s.clock.Now(), ev)
	if wasActive && g.machine.State() != vrrp.Active {
		g.leaseEnd.Store(0)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case vrrp.Activate:
			s.Counters.Activations.Add(1)
			if err := s.address.Activate(g.Name, g.Listen, s.mayTakeRequests(g)); err != nil {
				s.log.Error().Err(err).Str("group", g.Name).Msg("floating listener")
				s.handle(g, vrrp.ActivateFailed(a))
				return
			}
		case vrrp.Deactivate:
			s.Counters.Deactivations[a.Cause].Add(1)
			s.address.Deactivate(g.Name)
		case vrrp.SendAdvertisement:
			s.advertise(g, a)
			// Only now: had the process stopped before, its peers would have heard nothing.
			g.leaseEnd.Store(int64(g.machine.Lease()))
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
func (s *VRRPRouter) mayTakeRequests(g *group) func() bool {
	return func() bool { return int64(s.clock.Now()) <= g.leaseEnd.Load() }
}

func (s *VRRPRouter) advertise(g *group, a vrrp.SendAdvertisement) {
	for _, p := range s.settings.Peers {
		o := s.replayGuard.NextID()
		b, err := codec.Append(nil, codec.Message{
			VRID: g.Machine.VRID, Priority: a.Priority, Interval: int64(a.AdvertisementInterval), Addresses: g.Addresses,
			Trailer: codec.Trailer{
				Sender: s.settings.Node, Receiver: p.Node, Start: o.Start, Sequence: o.Sequence, ReceiverStart: s.replayGuard.KnownStart(p.Node),
			},
		}, s.settings.Bind.Addr(), p.Address.Addr(), s.settings.Keys[0])
		s.send(b, err, p.Address, &s.Counters.Sent)
	}
}

// send writes one datagram, unless it could not be made, and counts it.
func (s *VRRPRouter) send(b []byte, err error, to netip.AddrPort, sent *atomic.Int64) {
	if err == nil {
		err = s.loop.Send(b, to)
	}
	if err != nil {
		sent = &s.Counters.SendFailed
	}
	sent.Add(1)
}

func (s *VRRPRouter) announce(g *group) {
	for _, to := range s.settings.AnnounceTo {
		o := s.replayGuard.NextID()
		b, err := codec.AppendAnnouncement(nil, codec.Announcement{
			VRID: g.Machine.VRID, Sender: s.settings.Node, Start: o.Start, Sequence: o.Sequence, Listen: g.Listen,
			Addresses: g.Addresses,
		}, s.settings.Keys[0])
		s.send(b, err, to, &s.Counters.Announced)
	}
}

// receive checks one datagram and hands it to its group's machine.
func (s *VRRPRouter) receive(b []byte, from netip.AddrPort) {
	s.Counters.Received.Add(1)
	g, m, fault := s.validate(b, from)
	if fault != sealed.NoFault {
		s.countDropped(fault, from)
		return
	}
	s.handle(g, vrrp.AdvertisementReceived{From: from.Addr(), Priority: m.Priority, AdvertisementInterval: clock.Micros(m.Interval)})
}

// check finds the group of a datagram and verifies that it is of a peer, authentic (codec.Parse) and new. It does the cheap
// checks first: strangers cost no signature.
func (s *VRRPRouter) validate(b []byte, from netip.AddrPort) (*group, codec.Message, sealed.Fault) {
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
	fresh, startAdvanced := s.replayGuard.Accept(m.Sender, sealed.MessageID{Start: m.Start, Sequence: m.Sequence}, m.ReceiverStart)
	if startAdvanced {
		s.Counters.StartAdvanced.Add(1)
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
func (s *VRRPRouter) countDropped(fault sealed.Fault, from netip.AddrPort) {
	s.Counters.Dropped[fault].Add(1)
	s.dropLog.Dropped(fault.Name(), from)
}

// Reload takes over new peers, keys, announcements and the machines' settings. A group's name, addresses and listener
// stay; groups are matched by name.
func (s *VRRPRouter) Reload(next Settings) {
	s.runOnLoop(func() {
		next.Node, next.Bind = s.settings.Node, s.settings.Bind
		byName := map[string]Group{}
		for _, g := range next.Groups {
			byName[g.Name] = g
		}
		s.settings = next
		s.replayGuard.Retain(func(node uint8) bool {
			return slices.ContainsFunc(next.Peers, func(p Peer) bool { return p.Node == node })
		})
		for _, g := range s.groups {
			if n, ok := byName[g.Name]; ok {
				g.KeepUntilTakenOver = n.KeepUntilTakenOver
				g.Machine.Priority, g.Machine.AdvertisementInterval = n.Machine.Priority, n.Machine.AdvertisementInterval
				s.handle(g, vrrp.ConfigChanged{Config: n.Machine})
			}
		}
	})
}

// GiveUp releases every address, at once. Groups that linger do so only when last is set.
func (s *VRRPRouter) Shutdown(includeKeptGroups bool) {
	s.runOnLoop(func() {
		for _, g := range s.groups {
			if includeKeptGroups || !g.KeepUntilTakenOver {
				s.handle(g, vrrp.Shutdown{})
			}
		}
	})
}

// Resume has every group that was given up take part again.
func (s *VRRPRouter) Startup() {
	s.runOnLoop(func() {
		for _, g := range s.groups {
			s.handle(g, vrrp.Startup{})
		}
	})
}

// Close releases what is still held and ends the goroutine.
func (s *VRRPRouter) Close() {
	s.Shutdown(true)
	s.loop.Close()
}

// Status is how one group stands.
type Status struct {
	Group              string   `json:"group"`
	VRID               uint8    `json:"vrid"`
	Addresses          []string `json:"addresses"`
	State              string   `json:"state"`
	StateDurationMS    int64    `json:"for_ms"`
	Priority           uint8    `json:"priority"`
	ConfiguredPriority uint8    `json:"priority_of_settings"`
	Ready              bool     `json:"ready"`
	FailedConditions   []string `json:"wrong"`
	ActiveRouter       string   `json:"holder,omitempty"`
	Activation         uint32   `json:"tenure"`
	PreemptBlockedMS   int64    `json:"held_back_ms"`
}

// Status tells how every group stands.
func (s *VRRPRouter) Status() (all []Status) {
	s.runOnLoop(func() {
		now := s.clock.Now()
		for _, g := range s.groups {
			m := &g.machine
			st := Status{
				Group: g.Name, VRID: g.Machine.VRID, State: m.State().String(), StateDurationMS: int64(now-m.Since()) / 1000,
				Priority: m.Priority(), ConfiguredPriority: g.Machine.Priority, Ready: m.Ready(), Activation: m.Activation(), FailedConditions: []string{},
				PreemptBlockedMS: int64(max(m.PreemptBlockedUntil()-now, 0)) / 1000,
			}
			for _, a := range g.Addresses {
				st.Addresses = append(st.Addresses, a.String())
			}
			for c, wrong := range s.lastHealth.Conditions {
				if wrong {
					st.FailedConditions = append(st.FailedConditions, vrrp.ConditionNames[c])
				}
			}
			if m.State() == vrrp.Backup && m.ActiveRouter().IsValid() {
				st.ActiveRouter = m.ActiveRouter().String()
			}
			all = append(all, st)
		}
	})
	return all
}

// Stall keeps the speaker's goroutine from running for a while, for tests of what happens when the process stands still.
func (s *VRRPRouter) Stall(duration time.Duration) { s.runOnLoop(func() { time.Sleep(duration) }) }
