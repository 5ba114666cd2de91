package gateway

import (
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

// healthInterval is how often the routing owner is asked for the gateway's health. After healthTTL without its answer the
// gateway counts as not ready: an owner that hangs serves nobody.
const (
	healthInterval = 50 * time.Millisecond
	healthTTL      = time.Second
)

// groupInUseFor is for how long after its last request a replication group counts as in use.
const groupInUseFor = clock.Micros(30 * time.Second / time.Microsecond)

// minReadyBuffer is how many bytes must fit the messages' budget before the gateway is ready: a request and its answer.
const minReadyBuffer = 4 * transport.BufferSize

// floatingAddresses is the gateway's part in floating addresses: the VRRP speaker, and what is served under each activation. A
// nil one is a gateway without. Its health poll runs on a goroutine of its own, which close ends.
type floatingAddresses struct {
	g           *Gateway
	speaker     *floatingip.VRRPRouter
	counts      session.ClientCounts
	health      atomic.Pointer[healthSeen]
	stopping    atomic.Bool
	releasedAll atomic.Bool                    // every address is released
	groups      atomic.Pointer[[]config.Group] // in force
	quit        chan struct{}
	polling     sync.WaitGroup

	mu          sync.Mutex
	activations map[*activation]struct{}
	holding     map[string]*activation // by group
}

// healthSeen is the gateway's health, and when the routing owner told it.
type healthSeen struct {
	vrrp.Health
	at time.Time
}

// activation is one span of time in which this gateway is active for a floating address (Active Router, RFC 9568). Each has
// its own listener and its own clients, so that winning the address back while requests of the last activation are still in
// flight is no special case.
type activation struct {
	clients  *session.Clients
	listener *transport.Listener
	freed    chan struct{} // its listener is closed
	ending   atomic.Bool   // nothing new is taken
}

// startFloating binds the speaker's socket and begins to take part.
func startFloating(g *Gateway) (*floatingAddresses, error) {
	f := &floatingAddresses{
		g: g, quit: make(chan struct{}), activations: map[*activation]struct{}{}, holding: map[string]*activation{},
	}
	f.health.Store(&healthSeen{at: time.Now()})
	f.groups.Store(&g.operators.Groups)
	clock := floatingip.Clock{
		Now:  func() clock.Micros { return clock.Micros(g.clock.Now()) },
		Time: func(m clock.Micros) time.Time { return g.clock.Time(clock.Micros(m)) },
	}
	var err error
	if f.speaker, err = floatingip.Start(speakerSettings(g.operators), clock, uint64(time.Now().UnixMicro()), f, f.currentHealth, g.log); err != nil {
		return nil, err
	}
	g.descriptors.Reserve(1 + len(g.operators.Groups)) // the socket and the listeners
	f.polling.Go(f.poll)
	return f, nil
}

// speakerSettings translates the operators' settings into the speaker's.
func speakerSettings(ops *config.Operators) floatingip.Settings {
	v := ops.VRRP
	speaker := floatingip.Settings{Node: v.Node, Bind: v.Bind, AnnounceTo: v.Announce}
	for _, p := range v.Peers {
		speaker.Peers = append(speaker.Peers, floatingip.Peer(p))
	}
	for _, k := range v.Keys {
		speaker.Keys = append(speaker.Keys, codec.Key{Number: k.Number, Secret: []byte(k.Secret)})
	}
	for _, g := range ops.Groups {
		m := vrrp.Config{
			VRID: g.VRID, Priority: g.Priority, AdvertisementInterval: micros(g.Interval), Preempt: g.Preempt,
			PreemptDelay: micros(g.PreemptDelay), LocalAddress: v.Bind.Addr(),
			Damping: vrrp.Damping{Window: micros(g.Damping.Window), InitialDelay: micros(g.Damping.InitialHold), MaxDelay: micros(g.Damping.MaxHold)},
		}
		lingers := false
		for _, t := range g.Track {
			for c, name := range vrrp.ConditionNames {
				if name == t.Condition {
					m.PrioritySteps[c] = t.Step
					lingers = lingers || vrrp.Condition(c) == vrrp.Draining
				}
			}
		}
		speaker.Groups = append(speaker.Groups, floatingip.Group{
			Name: g.Name, Addresses: g.Addresses, Listen: g.Listen, Machine: m, KeepUntilTakenOver: lingers,
		})
	}
	return speaker
}

func micros(d time.Duration) clock.Micros { return clock.Micros(d / time.Microsecond) }

// poll samples the health until quit is closed. The speaker must not wait for the routing owner, so it reads the last sample.
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

// sampleHealth asks the routing owner for the gateway's health and stores it.
func (f *floatingAddresses) sampleHealth() {
	seen := &healthSeen{}
	if !f.g.owner.Call(func(c *routing.Core) {
		h := c.Health(groupInUseFor)
		seen.Ready = c.Ready() && h.UsableServers > 0
		seen.Conditions[vrrp.NoServer] = h.UsableServers == 0
		seen.Conditions[vrrp.NoPrimary] = h.GroupsWithoutPrimary > 0
		seen.Conditions[vrrp.DiscoverySilent] = h.ListFailing
	}) {
		return
	}
	if f.g.buffers.Reserve(minReadyBuffer) {
		f.g.buffers.Release(minReadyBuffer)
	} else if f.holds() == 0 {
		seen.Ready = false // a gateway that holds an address keeps it: busy is not broken
	}
	seen.Conditions[vrrp.DescriptorsLow] = f.g.descriptors.NearLimit()
	seen.at = time.Now()
	f.health.Store(seen)
}

// holds is how many floating addresses this gateway holds.
func (f *floatingAddresses) holds() int {
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.holding)
}

// currentHealth is the gateway's health by the last sample, for the speaker. It does not block.
func (f *floatingAddresses) currentHealth() vrrp.Health {
	seen := f.health.Load()
	h := seen.Health
	h.Ready = h.Ready && time.Since(seen.at) < healthTTL && f.g.maintenance.admits()
	h.Conditions[vrrp.Draining] = f.stopping.Load()
	return h
}

// Activate opens the floating listener for a new activation. A listener of an earlier activation that is not closed yet is waited
// for, a few milliseconds at most.
func (f *floatingAddresses) Activate(group string, listen netip.AddrPort, gate func() bool) error {
	f.mu.Lock()
	var before []*activation
	for t := range f.activations {
		before = append(before, t)
	}
	f.mu.Unlock()
	for _, t := range before {
		if t.listener.Addr() == listen.String() {
			<-t.freed
		}
	}
	l, err := transport.Listen(listen.String(), f.g.buffers, f.g.descriptors)
	if err != nil {
		return err
	}
	t := &activation{listener: l, clients: f.g.newClients(&f.counts, f.g.clients.Limits), freed: make(chan struct{})}
	admits := t.clients.MayAdmit
	t.clients.MayAdmit = func() bool { return gate() && !t.ending.Load() && (admits == nil || admits()) }
	f.mu.Lock()
	f.activations[t], f.holding[group] = struct{}{}, t
	f.mu.Unlock()
	go func() {
		l.Serve(t.clients.Serve)
		close(t.freed)
	}()
	return nil
}

// Deactivate closes the floating listener. Requests that were taken are answered as in a shutdown: idle clients are closed so
// that they connect again where the address is now, the others after their answers, and a client that has sent half a message
// is not waited for.
func (f *floatingAddresses) Deactivate(group string) {
	f.mu.Lock()
	t := f.holding[group]
	delete(f.holding, group)
	f.mu.Unlock()
	if t == nil { // Activate never succeeded
		return
	}
	t.listener.Close()
	t.clients.Drain(transport.EndAddressMigrated)
	go func() {
		<-t.freed
		time.Sleep(partialMessageGrace)
		t.clients.CutOff()
		t.listener.Wait() // every request ends by its deadline at the latest
		f.mu.Lock()
		delete(f.activations, t)
		f.mu.Unlock()
	}()
}

// reload takes over what may change.
func (f *floatingAddresses) reload(ops *config.Operators) {
	if f != nil && ops.VRRP != nil {
		f.groups.Store(&ops.Groups)
		f.speaker.Reload(speakerSettings(ops))
	}
}

// releaseAll releases every address; those that linger for a better holder only the last time.
func (f *floatingAddresses) releaseAll(last bool) {
	if f != nil {
		f.stopping.Store(true)
		f.releasedAll.Store(last)
		f.quiesce(last)
		f.speaker.Shutdown(last)
	}
}

// quiesce has the addresses that are about to be released take nothing new, and waits for what is in flight there: a network
// that cuts flows when an address moves would leave it in doubt. Harm: meanwhile new requests are rejected unsent. An address
// that lingers moves as soon as a better gateway hears of the drain; until then, or for its drain timeout, it takes nothing
// new either, and serves on after that.
func (f *floatingAddresses) quiesce(last bool) {
	var bound time.Duration
	var ending []*activation
	f.mu.Lock()
	for _, g := range *f.groups.Load() {
		t := f.holding[g.Name]
		if t == nil || g.DrainTimeout <= 0 {
			continue
		}
		t.ending.Store(true)
		if last || !slices.ContainsFunc(g.Track, func(t config.Track) bool { return t.Condition == vrrp.ConditionNames[vrrp.Draining] }) {
			ending, bound = append(ending, t), max(bound, g.DrainTimeout)
		} else {
			time.AfterFunc(g.DrainTimeout, func() { t.ending.Store(f.releasedAll.Load()) })
		}
	}
	f.mu.Unlock()
	busy := func(t *activation) bool { return t.clients.Busy() > 0 }
	for late := time.Now().Add(bound); slices.ContainsFunc(ending, busy) && time.Now().Before(late); {
		time.Sleep(time.Millisecond)
	}
}

// open is how many clients are connected over floating addresses.
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

// close ends the speaker and the health poll.
func (f *floatingAddresses) close() {
	if f != nil {
		f.speaker.Close()
		close(f.quit)
		f.polling.Wait()
	}
}

// status is how each address stands, for operators.
func (f *floatingAddresses) status() []floatingip.Status {
	if f == nil {
		return []floatingip.Status{}
	}
	return f.speaker.Status()
}

// logCounters logs the counters of floating addresses.
func (f *floatingAddresses) logCounters() {
	if f == nil {
		return
	}
	c := &f.speaker.Counters
	line := f.g.log.Info().Int64("sent", c.Sent.Load()).Int64("send_failed", c.SendFailed.Load()).
		Int64("received", c.Received.Load()).Int64("announced", c.Announced.Load()).Int64("tenures", c.Activations.Load()).
		Int64("start_moved", c.StartAdvanced.Load()).Int64("socket_errors", f.speaker.SocketErrors()).Int64("moved_requests", f.counts.AddressMoved.Load()).Int("clients", f.open())
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
