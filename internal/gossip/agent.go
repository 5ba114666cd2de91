// Package gossip runs the gossip protocol of internal/membership over UDP. An Agent has one socket, one goroutine that owns the
// socket and the membership state machine (called the machine below), and the streams to other gateways. All decisions about
// members are made by the machine. internal/gateway starts and stops the agent, and receives each change of the membership view
// through a callback.
//
// The goroutine is that of datagrams.Loop. It starts in Start, ends in Close, and calls the methods of loopHandler:
// HandleDatagram verifies a datagram and passes its message to the machine, or drops the datagram and counts the fault;
// CheckTimers handles the timers that are due. The method handle passes an event to the machine and
// carries out the resulting actions.
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

// Settings configures an Agent, from the operators' file. Reload can change all fields except Node, Deployment, Bind, Advertise,
// Buffers and Fds.
type Settings struct {
	Node       string
	Deployment string // part of every signature; separates deployments that have the same secret
	Bind       netip.AddrPort
	Advertise  netip.AddrPort // address at which other gateways reach this one; zero means the bound address
	Join       []netip.AddrPort
	Keys       []sealed.Key // the first key signs; all keys are accepted
	Zone       string
	Weight     uint32
	Interval   time.Duration // maximum duration of a probe
	// Via maps a member's advertised address to the address at which this gateway reaches the member, if the two addresses
	// differ because of network address translation.
	Via map[netip.AddrPort]netip.AddrPort
	// Buffers and Fds are the memory and descriptor budgets of the streams, which use the same addresses as datagrams. If Buffers
	// is nil, there are no streams.
	Buffers *transport.Buffers
	Fds     *transport.Descriptors
}

// Clock is a clock that never goes backwards. The method Time converts the clock's readings to times for timers.
type Clock struct {
	Now  func() clock.Micros
	Time func(clock.Micros) time.Time
}

// Self is the metadata that the gateway advertises about itself in addition to its settings.
type Self struct {
	Version  string
	Settings uint64 // digest of the gateway's platform settings
	Flags    membership.Flags
}

// Counts has the counters since the start.
type Counts struct {
	Sent, SendFailed, Received, SentBytes, Changes, Deaths, Refutations, PathChanges atomic.Int64
	Dropped                                                                          [sealed.FaultCount]atomic.Int64
	Noticed                                                                          [membership.NoticeCount]atomic.Int64
}

// Agent runs this gateway's participation in the membership protocol.
type Agent struct {
	// Streams carries messages that are too large for a datagram. It is nil if there are no streams.
	Streams *streams.Streams
	Counts  Counts

	clock    Clock
	self     func() Self
	onChange func(membership.MemberChanged)
	log      zerolog.Logger
	loop     *datagrams.Loop

	// The following fields are owned by the loop's goroutine.
	settings     Settings
	lastSelf     Self // value that was last passed to the machine
	machine      *membership.Machine
	replay       *sealed.ReplayGuard[sender]
	senderCount  int
	drops        *datagrams.DropLog
	advertisedOf map[netip.AddrPort]netip.AddrPort // inverse of Settings.Via

	// The following fields are shared with the goroutines of the streams and with Close.
	addresses    sync.Map // member name to advertised netip.AddrPort
	streamRoutes atomic.Pointer[map[netip.AddrPort]netip.AddrPort]
	leaveDone    chan struct{} // closed when other members have been notified that this gateway leaves
}

// Start binds the socket and starts the goroutine, which joins the other members and runs until Close. startTime is the system
// clock's time in microseconds of Unix time; it becomes this gateway's generation. self returns the current metadata; it is
// called at the start and whenever the goroutine checks its timers. onChange is called on that goroutine with each change of the
// membership view. It must not block, and may be nil.
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

// meta returns the metadata that the machine advertises for this gateway.
func (a *Agent) meta() membership.Meta {
	return membership.Meta{
		Zone: a.settings.Zone, Weight: a.settings.Weight, Version: a.lastSelf.Version, Settings: a.lastSelf.Settings, Flags: a.lastSelf.Flags,
	}
}

// streamAddress returns the address for opening a stream to a member. Dead members have an address too, because a member that was
// declared dead may still be alive.
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

// updateRoutes updates the two maps that follow from Settings.Via: streamRoutes, for opening streams, and advertisedOf, which maps
// the source of a datagram to the address that the source advertises.
func (a *Agent) updateRoutes() {
	a.streamRoutes.Store(&a.settings.Via)
	a.advertisedOf = make(map[netip.AddrPort]netip.AddrPort, len(a.settings.Via))
	for advertised, via := range a.settings.Via {
		a.advertisedOf[via] = advertised
	}
}

// Addr returns the address that the socket is bound to.
func (a *Agent) Addr() netip.AddrPort { return a.loop.Addr() }

// Reload applies new keys, join addresses, Via, zone, weight and interval.
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

// leaveTimeout is how long Close waits at most until other members have been notified that this gateway leaves.
const leaveTimeout = 500 * time.Millisecond

// Leave starts to notify the other members that this gateway leaves. It does not wait until they have been notified.
func (a *Agent) Leave() { a.loop.Do(func() { a.handle(membership.LeaveRequested{}) }) }

// Close leaves the membership, ends the goroutine, and closes the socket and the streams.
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
