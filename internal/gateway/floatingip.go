package gateway

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/config"
	"marblespan/internal/floatingip"
	"marblespan/internal/protocol/sealed"
	codec "marblespan/internal/protocol/vrrp"
	"marblespan/internal/routing"
	"marblespan/internal/session"
	"marblespan/internal/transport"
	"marblespan/internal/vrrp"
)

// healthInterval is how often the gateway's health is sampled from the routing owner. A sample older than healthTTL makes the
// gateway count as not ready, because no request is served while the owner hangs.
const (
	healthInterval = 50 * time.Millisecond
	healthTTL      = time.Second
)

// groupInUseFor is how long a replication group counts as in use after its last request.
const groupInUseFor = clock.Micros(30 * time.Second / time.Microsecond)

// minReadyBuffer is how many bytes of the memory budget for messages must be free for the gateway to be ready: enough for a request
// and its answer.
const minReadyBuffer = 4 * transport.BufferSize

// floatingAddresses runs the gateway's floating addresses: the VRRP router, and the listener and clients of each activation. It
// is nil in a gateway without floating addresses. Its health poll runs on a goroutine of its own, which close ends.
type floatingAddresses struct {
	g           *Gateway
	router      *floatingip.VRRPRouter
	counts      session.ClientCounts
	health      atomic.Pointer[healthSample]
	stopping    atomic.Bool
	releasedAll atomic.Bool                    // every address has been released or is being released; resume clears this flag
	groups      atomic.Pointer[[]config.Group] // the groups in force; a reload replaces them
	quit        chan struct{}
	polling     sync.WaitGroup

	mu          sync.Mutex
	activations map[*activation]struct{} // all activations that still have clients or an open listener
	current     map[string]*activation   // by group: the activations of the addresses that this gateway holds now
}

// healthSample is the gateway's health, and when it was sampled from the routing owner.
type healthSample struct {
	vrrp.Health
	at time.Time
}

// activation is one period in which this gateway is the Active Router (RFC 9568) of a floating address. Each activation has its
// own listener and clients, so that the gateway can regain the address, without special handling, while requests of an earlier
// activation are still in flight.
type activation struct {
	clients        *session.Clients
	listener       *transport.Listener
	listenerClosed chan struct{} // closed once the listener is closed and accepts nothing more
	rejectsNew     atomic.Bool   // new requests are rejected, because the address is about to be released
}

// startFloating starts the VRRP router, which binds its socket, and the health poll.
func startFloating(g *Gateway) (*floatingAddresses, error) {
	f := &floatingAddresses{
		g: g, quit: make(chan struct{}), activations: map[*activation]struct{}{}, current: map[string]*activation{},
	}
	f.health.Store(&healthSample{at: time.Now()})
	f.groups.Store(&g.operators.Groups)
	clock := floatingip.Clock{
		Now:  func() clock.Micros { return clock.Micros(g.clock.Now()) },
		Time: func(m clock.Micros) time.Time { return g.clock.Time(clock.Micros(m)) },
	}
	var err error
	if f.router, err = floatingip.Start(vrrpSettings(g.operators), clock, uint64(time.Now().UnixMicro()), f, f.currentHealth, g.log); err != nil {
		return nil, err
	}
	g.descriptors.Reserve(1 + len(g.operators.Groups)) // the socket and the listeners
	f.polling.Go(f.poll)
	return f, nil
}

// vrrpSettings converts the operators' settings to those of the VRRP router.
func vrrpSettings(ops *config.Operators) floatingip.Settings {
	v := ops.VRRP
	settings := floatingip.Settings{Node: v.Node, Bind: v.Bind, AnnounceTo: v.Announce}
	for _, p := range v.Peers {
		settings.Peers = append(settings.Peers, floatingip.Peer(p))
	}
	for _, k := range v.Keys {
		settings.Keys = append(settings.Keys, codec.Key{Number: k.Number, Secret: []byte(k.Secret)})
	}
	for _, g := range ops.Groups {
		m := vrrp.Config{
			VRID: g.VRID, Priority: g.Priority, AdvertisementInterval: micros(g.Interval), Preempt: g.Preempt,
			PreemptDelay: micros(g.PreemptDelay), LocalAddress: v.Bind.Addr(),
			Damping: vrrp.Damping{Window: micros(g.Damping.Window), InitialDelay: micros(g.Damping.InitialHold), MaxDelay: micros(g.Damping.MaxHold)},
		}
		keepUntilTakenOver := false
		for _, t := range g.Track {
			for c, name := range vrrp.ConditionNames {
				if name == t.Condition {
					m.PrioritySteps[c] = t.Step
					keepUntilTakenOver = keepUntilTakenOver || vrrp.Condition(c) == vrrp.Draining
				}
			}
		}
		settings.Groups = append(settings.Groups, floatingip.Group{
			Name: g.Name, Addresses: g.Addresses, Listen: g.Listen, Machine: m, KeepUntilTakenOver: keepUntilTakenOver,
		})
	}
	return settings
}

func micros(d time.Duration) clock.Micros { return clock.Micros(d / time.Microsecond) }

// poll samples the health until quit is closed. The VRRP router reads only the last sample, because it must not wait for the
// routing owner.
func (f *floatingAddresses) poll() {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for {
		f.sampleHealth()
		select {
		case <-tick.C:
		case <-f.quit:
			return
		}
	}
}

// sampleHealth reads the gateway's health from the routing owner and stores it. Once the owner has stopped, sampleHealth stores
// nothing.
func (f *floatingAddresses) sampleHealth() {
	sample := &healthSample{}
	if !f.g.owner.Call(func(c *routing.Core) {
		h := c.Health(groupInUseFor)
		sample.Ready = c.Ready() && h.UsableServers > 0
		sample.Conditions[vrrp.NoServer] = h.UsableServers == 0
		sample.Conditions[vrrp.NoPrimary] = h.GroupsWithoutPrimary > 0
		sample.Conditions[vrrp.DiscoverySilent] = h.ListFailing
	}) {
		return
	}
	if f.g.buffers.Reserve(minReadyBuffer) {
		f.g.buffers.Release(minReadyBuffer)
	} else if f.activeCount() == 0 {
		sample.Ready = false // a gateway that holds an address is overloaded, not broken, and stays ready to keep the address
	}
	sample.Conditions[vrrp.DescriptorsLow] = f.g.descriptors.NearLimit()
	sample.at = time.Now()
	f.health.Store(sample)
}

// activeCount returns the number of floating addresses for which this gateway is active.
func (f *floatingAddresses) activeCount() int {
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.current)
}

// currentHealth returns the gateway's health according to the last sample, for the VRRP router. It does not block.
func (f *floatingAddresses) currentHealth() vrrp.Health {
	sample := f.health.Load()
	h := sample.Health
	h.Ready = h.Ready && time.Since(sample.at) < healthTTL && f.g.maintenance.admits()
	h.Conditions[vrrp.Draining] = f.stopping.Load()
	return h
}

// Activate opens the floating listener for a new activation. If an earlier activation's listener at the same address is not
// closed yet, Activate waits until that listener is closed, which takes a few milliseconds at most.
func (f *floatingAddresses) Activate(group string, listen netip.AddrPort, gate func() bool) error {
	f.mu.Lock()
	var earlier []*activation
	for t := range f.activations {
		earlier = append(earlier, t)
	}
	f.mu.Unlock()
	for _, t := range earlier {
		if t.listener.Addr() == listen.String() {
			<-t.listenerClosed
		}
	}
	l, err := transport.Listen(listen.String(), f.g.buffers, f.g.descriptors)
	if err != nil {
		return err
	}
	t := &activation{listener: l, clients: f.g.newClients(&f.counts, f.g.clients.Limits), listenerClosed: make(chan struct{})}
	admits := t.clients.MayAdmit
	t.clients.MayAdmit = func() bool { return gate() && !t.rejectsNew.Load() && (admits == nil || admits()) }
	f.mu.Lock()
	f.activations[t], f.current[group] = struct{}{}, t
	f.mu.Unlock()
	go func() {
		l.Serve(t.clients.Serve)
		close(t.listenerClosed)
	}()
	return nil
}

// Deactivate closes the floating listener and ends the connections of its clients as in a shutdown. Idle connections are closed at
// once, so that their clients reconnect to the gateway that now holds the address. The others are closed after the answers to the
// requests that were accepted. For the rest of a message that has arrived only in part, the gateway waits no longer than
// partialMessageGrace before it calls CutOff.
func (f *floatingAddresses) Deactivate(group string) {
	f.mu.Lock()
	t := f.current[group]
	delete(f.current, group)
	f.mu.Unlock()
	if t == nil { // Activate never succeeded
		return
	}
	t.listener.Close()
	t.clients.Drain(transport.EndAddressMigrated)
	go func() {
		<-t.listenerClosed
		time.Sleep(partialMessageGrace)
		t.clients.CutOff()
		t.listener.Wait() // Wait returns, because every request ends by its deadline at the latest
		f.mu.Lock()
		delete(f.activations, t)
		f.mu.Unlock()
	}()
}

// reload applies the operators' settings that may change while the gateway runs.
func (f *floatingAddresses) reload(ops *config.Operators) {
	if f != nil && ops.VRRP != nil {
		f.groups.Store(&ops.Groups)
		f.router.Reload(vrrpSettings(ops))
	}
}

// releaseAll releases the addresses. If last is false, releaseAll skips the addresses that are kept until another gateway takes
// them over. It waits for requests in flight, but not after the time end (zero: no limit).
func (f *floatingAddresses) releaseAll(last bool, end time.Time) {
	if f != nil {
		f.stopping.Store(true)
		f.releasedAll.Store(last)
		f.quiesce(last, end)
		f.router.Shutdown(last)
	}
}

// quiesce rejects new requests at the addresses that are about to be released and waits, up to their drain timeouts and not after the
// time end, until the requests in flight there have ended. Otherwise a network that cuts connections when an address moves would leave those requests
// in doubt. The cost is that new requests are rejected unsent in the meantime.
//
// An address that is kept until another gateway takes it over moves as soon as a gateway with a higher priority is informed of the
// drain. New requests at that address are rejected too, but quiesce does not wait for the requests in flight there. If the address
// has not moved when its drain timeout is over, requests at the address are accepted again, unless releaseAll has released every
// address meanwhile.
func (f *floatingAddresses) quiesce(last bool, end time.Time) {
	var timeout time.Duration
	var releasing []*activation
	f.mu.Lock()
	for _, g := range *f.groups.Load() {
		t := f.current[g.Name]
		if t == nil || g.DrainTimeout <= 0 {
			continue
		}
		t.rejectsNew.Store(true)
		if last || !slices.ContainsFunc(g.Track, func(t config.Track) bool { return t.Condition == vrrp.ConditionNames[vrrp.Draining] }) {
			releasing, timeout = append(releasing, t), max(timeout, g.DrainTimeout)
		} else {
			time.AfterFunc(g.DrainTimeout, func() { t.rejectsNew.Store(f.releasedAll.Load()) })
		}
	}
	f.mu.Unlock()
	busy := func(t *activation) bool { return t.clients.Busy() > 0 }
	if until := time.Now().Add(timeout); end.IsZero() || until.Before(end) {
		end = until
	}
	for slices.ContainsFunc(releasing, busy) && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
}

// eachClients calls a function for the clients of each activation.
func (f *floatingAddresses) eachClients(do func(*session.Clients)) {
	if f == nil {
		return
	}
	f.mu.Lock()
	activations := slices.Collect(maps.Keys(f.activations))
	f.mu.Unlock()
	for _, t := range activations {
		do(t.clients)
	}
}

// open returns how many clients are connected over floating addresses.
func (f *floatingAddresses) open() (n int) {
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for t := range f.activations {
		n += t.clients.Open()
	}
	return n
}

// close closes the VRRP router and ends the health poll.
func (f *floatingAddresses) close() {
	if f != nil {
		f.router.Close()
		close(f.quit)
		f.polling.Wait()
	}
}

// status returns the state of each floating address, for operators.
func (f *floatingAddresses) status() []floatingip.Status {
	if f == nil {
		return []floatingip.Status{}
	}
	return f.router.Status()
}

// logCounters logs the counters of floating addresses.
func (f *floatingAddresses) logCounters() {
	if f == nil {
		return
	}
	c := &f.router.Counters
	line := f.g.log.Info().Int64("sent", c.Sent.Load()).Int64("send_failed", c.SendFailed.Load()).
		Int64("received", c.Received.Load()).Int64("announced", c.Announced.Load()).Int64("tenures", c.Activations.Load()).
		Int64("start_moved", c.StartAdvanced.Load()).Int64("socket_errors", f.router.SocketErrors()).Int64("moved_requests", f.counts.AddressMoved.Load()).Int("clients", f.open())
	for fault := sealed.NoFault + 1; fault < sealed.FaultCount; fault++ {
		if n := c.Dropped[fault].Load(); n > 0 {
			line = line.Int64("dropped_"+fault.Name(), n)
		}
	}
	for cause := range vrrp.CauseCount {
		if n := c.Deactivations[cause].Load(); n > 0 {
			line = line.Int64("lost_"+cause.String(), n)
		}
	}
	line.Msg("vrrp counters")
}
