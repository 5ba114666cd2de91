// Package gossip carries the gossip of internal/membership over UDP: an Agent has one socket, one goroutine that owns it and
// the membership machine, and the streams to other gateways. It decides nothing about members. internal/gateway starts and
// stops it, and hears of each change of the view by a callback.
//
// The goroutine is that of datagrams.Loop; it starts in Start and ends in Close. loopHandler is what it calls:
// HandleDatagram checks a datagram, drops it with a counted fault, or hands its message to the machine; CheckTimers does what
// is due. handle gives an event to the machine and carries out the actions that come of it.
package gossip

import (
	"net/netip"
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

// Settings are those of the operators' file. Reload changes them, but for Node, Deployment, Bind and Advertise.
type Settings struct {
	Node       string
	Deployment string // part of every signature, keeps deployments with the same secret apart
	Bind       netip.AddrPort
	Advertise  netip.AddrPort // where others reach it; zero: where it is bound
	Join       []netip.AddrPort
	Keys       []sealed.Key // the first one signs, all are accepted
	Zone       string
	Weight     uint32
	Interval   time.Duration // how long one probe may take
	// Via is where an advertised address is reached from here, if not there: across a translation of addresses.
	Via map[netip.AddrPort]netip.AddrPort
	// Buffers and Fds are the budgets of the streams, which use the same addresses as datagrams; nil: there are no streams.
	Buffers *transport.Buffers
	Fds     *transport.Descriptors
}

// Clock is a clock that never steps back. Time converts its readings for timers.
type Clock struct {
	Now  func() clock.Micros
	Time func(clock.Micros) time.Time
}

// Self is what the gateway tells of itself beside its settings.
type Self struct {
	Version  string
	Settings uint64 // digest of its platform settings
	Flags    membership.Flags
}

// Counts are the counters since the start.
type Counts struct {
	Sent, SendFailed, Received, SentBytes, Changes, Deaths, Refutations, PathChanges atomic.Int64
	Dropped                                                                          [sealed.FaultCount]atomic.Int64
	Noticed                                                                          [membership.NoticeCount]atomic.Int64
}

// Agent is this gateway's part in the membership.
type Agent struct {
	// Streams carry what is too large for a datagram; nil without.
	Streams *streams.Streams
	Counts  Counts

	clock    Clock
	self     func() Self
	onChange func(membership.MemberChanged)
	log      zerolog.Logger
	loop     *datagrams.Loop

	// These belong to the loop's goroutine.
	settings     Settings
	lastSelf     Self // as the machine knows it
	machine      *membership.Machine
	replay       *sealed.ReplayGuard[sender]
	senderCount  int
	drops        *datagrams.DropLog
	advertisedOf map[netip.AddrPort]netip.AddrPort // Settings.Via in the other direction

	// These are shared with the goroutines of the streams and with Close.
	addresses    sync.Map // name to netip.AddrPort, as advertised
	streamRoutes atomic.Pointer[map[netip.AddrPort]netip.AddrPort]
	leaveDone    chan struct{} // closed once others have been told that this gateway leaves
}

// Start binds the socket, joins and starts the goroutine, which runs until Close. startTime is the system clock's time in
// microseconds of Unix time: it is this gateway's generation. self is called again whenever the goroutine checks its timers.
// onChange is called on that goroutine with each change of the view, and must not wait; it may be nil.
func Start(s Settings, clock Clock, startTime uint64, self func() Self, onChange func(membership.MemberChanged), log zerolog.Logger) (*Agent, error) {
	loop, err := datagrams.Listen(s.Bind, codec.MaxSize)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: s, clock: clock, self: self, onChange: onChange, log: log, loop: loop, lastSelf: self(),
		replay: sealed.NewReplayGuard[sender](startTime, replayWindow), drops: datagrams.NewDropLog(log, "members message dropped"),
		leaveDone: make(chan struct{}),
	}
	if !s.Advertise.IsValid() {
		a.settings.Advertise = loop.Addr()
	}
	a.updateRoutes()
	if s.Buffers != nil {
		if a.Streams, err = streams.Listen(loop.Addr().String(), streams.Settings{
			Node: s.Node, Deployment: s.Deployment, Start: startTime, Keys: s.Keys, AddressOf: a.streamAddress, Buffers: s.Buffers, Descriptors: s.Fds,
		}); err != nil {
			loop.CloseUnstarted()
			return nil, err
		}
	}
	a.machine = membership.New(membership.Config{
		Name: s.Node, Address: a.settings.Advertise, Generation: startTime, Interval: micros(s.Interval), Join: s.Join,
		Seed: startTime | 1, Meta: a.meta(),
	})
	go loop.Run(loopHandler{a})
	return a, nil
}

func micros(d time.Duration) clock.Micros { return clock.Micros(d.Microseconds()) }

// meta is what the machine tells of this gateway.
func (a *Agent) meta() membership.Meta {
	return membership.Meta{
		Zone: a.settings.Zone, Weight: a.settings.Weight, Version: a.lastSelf.Version, Settings: a.lastSelf.Settings, Flags: a.lastSelf.Flags,
	}
}

// streamAddress is where a member's streams are opened to. A dead member has one too, as it may be alive all the same.
func (a *Agent) streamAddress(name string) (string, bool) {
	advertised, known := a.addresses.Load(name)
	if !known {
		return "", false
	}
	to := advertised.(netip.AddrPort)
	if via, translated := (*a.streamRoutes.Load())[to]; translated {
		to = via
	}
	return to.String(), true
}

// updateRoutes takes over Settings.Via, for streams and for the sources of datagrams.
func (a *Agent) updateRoutes() {
	a.streamRoutes.Store(&a.settings.Via)
	a.advertisedOf = make(map[netip.AddrPort]netip.AddrPort, len(a.settings.Via))
	for advertised, via := range a.settings.Via {
		a.advertisedOf[via] = advertised
	}
}

// Addr is where the socket is bound.
func (a *Agent) Addr() netip.AddrPort { return a.loop.Addr() }

// Reload takes over keys, join addresses, Via, zone, weight and interval.
func (a *Agent) Reload(next Settings) {
	a.loop.Do(func() {
		next.Node, next.Deployment, next.Bind, next.Advertise = a.settings.Node, a.settings.Deployment, a.settings.Bind, a.settings.Advertise
		a.settings = next
		a.updateRoutes()
		if a.Streams != nil {
			a.Streams.SetKeys(next.Keys)
		}
		a.handle(membership.Reconfigured{Interval: micros(next.Interval), Join: next.Join})
		a.handle(membership.MetaUpdated{Meta: a.meta()})
	})
}

// leaveTimeout is how long Close waits at the most until others have been told that this gateway leaves.
const leaveTimeout = 500 * time.Millisecond

// Leave begins to tell the others that this gateway leaves. It does not wait until they know.
func (a *Agent) Leave() { a.loop.Do(func() { a.handle(membership.LeaveRequested{}) }) }

// Close leaves, and ends the goroutine, the socket and the streams.
func (a *Agent) Close() {
	a.Leave()
	select {
	case <-a.leaveDone:
	case <-time.After(leaveTimeout):
	}
	a.loop.Close()
	if a.Streams != nil {
		a.Streams.Close()
	}
}
