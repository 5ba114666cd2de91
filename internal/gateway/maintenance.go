package gateway

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/config"
	"marblespan/internal/maintenance"
	"marblespan/internal/membership"
	"marblespan/internal/policy"
	"marblespan/internal/routing"
	"marblespan/internal/transport"
)

// reportInterval is how often a gateway sends its report to the ledger's leader. The gateway acts on a change of the order at
// once, without waiting for the interval.
const reportInterval = 250 * time.Millisecond

// roleFreshness is how long after the last request to a group this gateway's own knowledge of the group's primary counts as
// current. After that the endpoint list is used.
const roleFreshness = clock.Micros(5 * time.Second / time.Microsecond)

// takeoverTimeout is the longest time for which a draining gateway keeps a floating address so that another gateway can take it
// over. After that time, the gateway releases the address.
const takeoverTimeout = 2 * time.Second

// commandTimeout is how long an operator's command may take. The control socket's timeout is a little longer.
const commandTimeout = 1500 * time.Millisecond

// maintenanceAgent carries out the maintenance order (internal/maintenance) on this gateway: it drains the gateway or cordons
// servers when the order says so, and reports the gateway's state. It makes no decisions about the order; the ledger's leader
// makes them. It is nil in a gateway without a maintenance section. Its loop runs on a goroutine of its own, which close ends.
type maintenanceAgent struct {
	g         *Gateway
	startedAt time.Time
	wake      chan struct{}
	quit      chan struct{}
	done      sync.WaitGroup

	next            atomic.Pointer[indexedOrder] // the latest order received, which the loop applies
	ledgerTimeout   atomic.Int64                 // how long a starting gateway waits to be enrolled in the ledger, in nanoseconds
	maxReplicaLag   atomic.Int64                 // the lag above which a replica is reported as lagging, in microseconds
	enrolled        atomic.Bool                  // this incarnation is enrolled in the ledger
	draining        atomic.Bool                  // load balancers see that the gateway is not ready; requests are still accepted
	closedToClients atomic.Bool                  // later in the drain: requests of connected clients are rejected too

	// Owned by the loop's goroutine.
	order         indexedOrder
	incarnation   uint64
	drainingSince time.Time // when draining began
	cpuUsed       time.Duration
	cpuSampledAt  time.Time
	lastLoad      int // the last sample of sampleLoad, in thousandths
}

// indexedOrder is an order with its index: the order reflects the ledger's state at this index.
type indexedOrder struct {
	index uint64
	*maintenance.Order
}

// newMaintenanceAgent creates the agent, or returns nil if the operators' file has no maintenance section.
func newMaintenanceAgent(g *Gateway) *maintenanceAgent {
	if g.operators.Maintenance == nil {
		return nil
	}
	a := &maintenanceAgent{g: g, startedAt: time.Now(), wake: make(chan struct{}, 1), quit: make(chan struct{}), order: indexedOrder{Order: &maintenance.Order{}}, incarnation: g.incarnation}
	a.configure(g.operators.Maintenance)
	return a
}

// configure applies the settings of the maintenance section.
func (a *maintenanceAgent) configure(c *config.Maintenance) {
	a.ledgerTimeout.Store(int64(c.LedgerTimeout))
	a.maxReplicaLag.Store(c.MaxReplicaLag.Microseconds())
}

// maintenanceLimits converts the operators' limits to those of the maintenance order. It returns nil if the operators' file lacks
// the maintenance or the state-store section.
func maintenanceLimits(ops *config.Operators) *maintenance.Limits {
	c := ops.Maintenance
	if c == nil || ops.StateStore == nil {
		return nil
	}
	return &maintenance.Limits{
		MaxGateways: c.MaxGateways, MaxPerZone: c.MaxPerZone, MaxServers: c.MaxServers, KeepReady: c.KeepReady, MaxLoad: c.MaxLoad * 10, SettleTime: micros(c.SettleTime), ReturnWithin: micros(c.ReturnWithin),
		ExcuseAfter: micros(c.ExcuseAfter), RepairAfter: micros(ops.StateStore.RepairAfter),
	}
}

// start starts the loop.
func (a *maintenanceAgent) start() {
	if a != nil {
		a.done.Go(a.run)
	}
}

// close ends the loop and waits for it.
func (a *maintenanceAgent) close() {
	if a != nil {
		close(a.quit)
		a.done.Wait()
	}
}

// reload applies the settings of maintenance that may change while the gateway runs.
func (a *maintenanceAgent) reload(ops *config.Operators) {
	if a != nil && ops.Maintenance != nil && ops.StateStore != nil {
		a.configure(ops.Maintenance)
		a.g.store.SetMaintenanceLimits(*maintenanceLimits(ops))
	}
}

// orderChanged passes a changed order to the loop. The state store's goroutine calls it at every change, so it does not block.
func (a *maintenanceAgent) orderChanged(index uint64, o *maintenance.Order) {
	a.next.Store(&indexedOrder{index, o})
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// admits reports whether new clients and requests are admitted. A starting gateway admits nothing until the order shows it as
// enrolled in the ledger, because only then does it know which servers are cordoned. If the gateway is not enrolled within the
// ledger timeout, it admits requests all the same.
func (a *maintenanceAgent) admits() bool {
	return a == nil || !a.draining.Load() && (a.enrolled.Load() || time.Since(a.startedAt) > time.Duration(a.ledgerTimeout.Load()))
}

// acceptsRequests reports whether requests of connected clients are accepted. A draining gateway accepts them until
// closedToClients is set, minDrainDelay after the drain began.
func (a *maintenanceAgent) acceptsRequests() bool {
	return !a.closedToClients.Load() && (a.draining.Load() || a.admits())
}

// run is the agent's loop. It applies new orders, continues a drain, and sends reports.
func (a *maintenanceAgent) run() {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.quit:
			return
		case <-tick.C:
		case <-a.wake:
		}
		if next := a.next.Load(); next != nil && next.index != a.order.index {
			a.apply(*next)
		}
		a.continueDrain()
		a.sendReport()
	}
}

// apply carries out a new order: it cordons servers, and begins or ends draining.
func (a *maintenanceAgent) apply(next indexedOrder) {
	node := a.g.operators.Members.Node
	a.logChanges(next.Order)
	if known := next.EnrolledIncarnation(node); known > a.incarnation && !a.enrolled.Load() {
		a.incarnation = known + 1 // the clock was set back since the last start; use an incarnation after the known incarnation
	}
	a.enrolled.Store(next.EnrolledIncarnation(node) == a.incarnation)
	var cordoned []string
	for i := range next.Machines {
		if m := &next.Machines[i]; m.Kind == maintenance.Server && m.Cordoned() {
			cordoned = append(cordoned, m.Name)
		}
	}
	if !a.g.owner.Call(func(c *routing.Core) { c.SetCordoned(cordoned) }) {
		return
	}
	m := next.Find(maintenance.Gateway, node, 0)
	switch drain := m != nil && m.Cordoned(); {
	case a.g.stopping.Load(): // the shutdown continues whatever the order says
	case drain && !a.draining.Load():
		a.drainingSince = time.Now()
		a.draining.Store(true)
		a.g.members.setDraining(true)
		a.g.floating.releaseAll(false, time.Time{})
	case !drain && a.draining.Load():
		a.g.members.setDraining(false)
		a.g.clients.Resume()
		a.closedToClients.Store(false)
		a.draining.Store(false)
		a.g.floating.resume()
	}
	a.order = next
}

// continueDrain carries out the steps of a drain that are due. Clients, and load balancers in front of the gateways, first have
// minDrainDelay to notice the drain, as on SIGTERM. After minDrainDelay, requests are rejected and idle clients are closed. After
// takeoverTimeout, the floating addresses that no gateway has taken over are released. Both times count from the drain's start.
func (a *maintenanceAgent) continueDrain() {
	if !a.draining.Load() || a.g.stopping.Load() {
		return
	}
	if !a.closedToClients.Load() && time.Since(a.drainingSince) > minDrainDelay {
		a.closedToClients.Store(true)
		a.g.clients.Drain(transport.EndMaintenance)
	}
	if time.Since(a.drainingSince) > takeoverTimeout && a.g.floating.activeCount() > 0 {
		a.g.floating.releaseAll(true, time.Time{})
	}
}

// idle reports whether this gateway has nothing in flight and admits nothing new. open is the number of requests in the routing
// core.
func (a *maintenanceAgent) idle(open int) bool {
	return a.closedToClients.Load() && open == 0 && a.g.clients.Busy() == 0 && a.g.floating.activeCount() == 0 && a.g.floating.open() == 0 &&
		(a.g.intents == nil || len(a.g.intents.InFlight()) == 0)
}

// sendReport sends a report on this gateway's state and on its view of the servers to the ledger's leader.
func (a *maintenanceAgent) sendReport() {
	groups := map[int]bool{}
	for i := range a.order.Machines {
		if m := &a.order.Machines[i]; m.Kind == maintenance.Server && m.State < maintenance.Back {
			groups[m.Group] = true
		}
	}
	r := maintenance.Report{LedgerIndex: a.order.index, Load: a.sampleLoad()}
	open := 0
	if !a.g.owner.Call(func(c *routing.Core) {
		open = c.OpenRequests()
		for _, s := range c.Servers(groups) {
			primary := s.ServerView.Primary
			if a.g.clock.Now()-s.LastRequestAt > roleFreshness { // no recent request has shown which server is the primary, so use the endpoint list
				primary = s.Endpoint.Primary
			}
			r.Servers = append(r.Servers, maintenance.ServerReport{
				Group: s.Group, Name: s.UID, Primary: primary, WarmingUp: s.InSlowStart,
				Down:    s.Down || s.State != policy.EndpointReady && a.order.Find(maintenance.Server, s.UID, s.Group) == nil,
				Lagging: !primary && int64(s.Lag) > a.maxReplicaLag.Load(),
			})
		}
		for i := range a.order.Machines {
			if m := &a.order.Machines[i]; m.Kind == maintenance.Server && m.Cordoned() && c.InFlightAt(m.Name) == 0 {
				r.Quiesced = append(r.Quiesced, m.ID)
			}
		}
	}) {
		return
	}
	slices.SortFunc(r.Servers, func(a, b maintenance.ServerReport) int { return strings.Compare(a.Name, b.Name) })
	r.Ready = a.admits() && a.g.isReady() && !a.g.stopping.Load()
	r.Idle = a.draining.Load() && a.idle(open)
	for _, s := range a.g.floating.status() {
		if s.Ready {
			r.FloatingGroups = append(r.FloatingGroups, s.Group)
		}
	}
	a.g.store.SetMaintenanceReport(a.incarnation, r)
}

// sampleLoad returns the share of the gateway's cores that the process has used since the last sample, in thousandths.
func (a *maintenanceAgent) sampleLoad() int {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	spent := time.Duration(use.Utime.Nano() + use.Stime.Nano())
	now := time.Now()
	if now.Sub(a.cpuSampledAt) < reportInterval/2 { // the interval is too short for a measurement
		return a.lastLoad
	}
	if !a.cpuSampledAt.IsZero() {
		a.lastLoad = int(float64(spent-a.cpuUsed) * 1000 / (float64(now.Sub(a.cpuSampledAt)) * math.Max(a.g.cfg.Cores, 0.01)))
	}
	a.cpuUsed, a.cpuSampledAt = spent, now
	return a.lastLoad
}

// logChanges logs each machine whose state differs from its state in the last order.
func (a *maintenanceAgent) logChanges(next *maintenance.Order) {
	before := map[uint64]string{}
	for i := range a.order.Machines {
		m := &a.order.Machines[i]
		before[m.ID] = m.StateText(a.order.Paused)
	}
	// Machines that are back in service are logged before those that are taken out, so that a reader of the log never counts more
	// machines out of service at the same time than there were.
	for i := range 2 * len(next.Machines) {
		m := &next.Machines[i%len(next.Machines)]
		back := m.State == maintenance.Requested || m.State >= maintenance.Back
		if to := m.StateText(next.Paused); before[m.ID] != to && back == (i < len(next.Machines)) {
			a.g.log.Info().Str("machine", m.Label()).Stringer("kind", m.Kind).Uint64("number", m.ID).Str("from", before[m.ID]).Str("to", to).Msg("maintenance state changed")
		}
	}
}

// MaintenanceStatus is the maintenance order, for operators.
type MaintenanceStatus struct {
	Node     string          `json:"node"`             // the gateway that answers
	Leader   string          `json:"leader,omitempty"` // the ledger's leader; empty: the leader did not answer, and the order is as this gateway last knew it
	Paused   bool            `json:"held"`
	Machines []MachineStatus `json:"machines"`
}

// MachineStatus is the state of one machine in the maintenance order.
type MachineStatus struct {
	Position    int    `json:"place,omitempty"` // in the queue of the machines whose maintenance is not over; 0: the maintenance of this machine is over
	Machine     string `json:"machine"`
	Kind        string `json:"kind"`
	Group       int    `json:"group,omitempty"`
	State       string `json:"state"`
	ForMS       int64  `json:"for_ms"` // how long the machine has been in this state
	WorkMS      int64  `json:"work_ms"`
	Waits       string `json:"waits,omitempty"`
	Comment     string `json:"why,omitempty"`
	RequestedBy string `json:"by,omitempty"`
}

// errNoMaintenance is returned by a gateway without a maintenance section.
var errNoMaintenance = errors.New("this gateway has no maintenance section")

// answerMaintenance answers operators' questions about the maintenance order and carries out their commands.
func (g *Gateway) answerMaintenance(words []string) (any, error) {
	if g.maintenance == nil || g.store == nil {
		return nil, errNoMaintenance
	}
	deadline := time.Now().Add(commandTimeout)
	if len(words) == 0 {
		return g.maintenanceList(deadline)
	}
	command, err := parseMaintenanceCommand(words, micros(g.operators.Maintenance.DefaultDuration))
	if err != nil {
		return nil, err
	}
	command.RequestedBy = g.operators.Members.Node
	if command.Name != "" {
		if err := g.findMachine(&command); err != nil {
			return nil, err
		}
	}
	return g.store.RunMaintenanceCommand(command, deadline)
}

// maintenanceVerbs maps the words of the control socket to the verbs of maintenance commands.
var maintenanceVerbs = map[string]maintenance.Verb{
	"add": maintenance.Add, "done": maintenance.Done, "drop": maintenance.Cancel, "hold": maintenance.Pause, "go": maintenance.Resume,
}

// parseMaintenanceCommand parses a verb, the quoted name of a machine, the duration of the work, and a quoted comment. All but
// the verb may be missing. A duration that is missing or 0 means defaultDuration.
func parseMaintenanceCommand(words []string, defaultDuration clock.Micros) (c maintenance.Command, err error) {
	c.Duration = defaultDuration
	if c.Verb = maintenanceVerbs[words[0]]; c.Verb == 0 {
		return c, fmt.Errorf("unknown question %.40q", "maintain "+words[0])
	}
	if len(words) > 1 {
		if c.Name, err = strconv.Unquote(words[1]); err != nil || c.Name == "" || len(c.Name) > maintenance.MaxNameLength {
			return c, fmt.Errorf("invalid machine name %.60s", words[1])
		}
	}
	if len(words) > 2 {
		duration, err := time.ParseDuration(words[2])
		if err != nil || duration < 0 {
			return c, fmt.Errorf("invalid duration %.20q", words[2])
		}
		if duration > 0 {
			c.Duration = micros(duration)
		}
	}
	if len(words) > 3 {
		if c.Comment, err = strconv.Unquote(strings.Join(words[3:], " ")); err != nil || len(c.Comment) > maintenance.MaxCommentLength {
			return c, fmt.Errorf("invalid reason: must be a quoted string of at most %d bytes", maintenance.MaxCommentLength)
		}
	}
	return c, nil
}

// findMachine determines whether a command's machine is a gateway among the members or a server on the endpoint list, and sets
// the command's kind and group. The prefix "gateway:" or "server:" states the kind; the prefix is required if a gateway and a
// server have the name.
func (g *Gateway) findMachine(command *maintenance.Command) error {
	kind, name, prefixed := strings.Cut(command.Name, ":")
	if !prefixed || kind != "gateway" && kind != "server" {
		kind, name = "", command.Name
	}
	command.Name = name
	order := &maintenance.Order{}
	if o := g.maintenance.next.Load(); o != nil {
		order = o.Order
	}
	isGateway := name == g.operators.Members.Node || g.members.isKnown(name) || order.Find(maintenance.Gateway, name, 0) != nil
	isServer, group := false, 0
	if m := order.Find(maintenance.Server, name, -1); m != nil {
		isServer, group = true, m.Group
	}
	g.owner.Call(func(core *routing.Core) {
		if at, known := core.GroupOf(name); known {
			isServer, group = true, at
		}
	})
	switch {
	case kind == "gateway" || kind == "" && isGateway && !isServer:
		if !isGateway {
			return fmt.Errorf("gateway %s is not known to this gateway", name)
		}
	case kind == "server" || kind == "" && isServer && !isGateway:
		if !isServer {
			return fmt.Errorf("server %s is not on the endpoint list", name)
		}
		command.Kind, command.Group = maintenance.Server, group
	case isGateway && isServer:
		return fmt.Errorf("%s is the name of a gateway and of a server: use gateway:%s or server:%s", name, name, name)
	default:
		return fmt.Errorf("no gateway or server named %s is known to this gateway", name)
	}
	return nil
}

// maintenanceList returns the order as the ledger's leader has it or, if the leader does not answer, as this gateway last knew
// it.
func (g *Gateway) maintenanceList(deadline time.Time) (MaintenanceStatus, error) {
	listing, err := g.store.MaintenanceListing(deadline)
	s := MaintenanceStatus{Node: g.operators.Members.Node, Leader: listing.Leader, Paused: listing.Order.Paused, Machines: []MachineStatus{}}
	for i := range listing.Order.Machines {
		m := &listing.Order.Machines[i]
		status := MachineStatus{
			Machine: m.Name, Kind: m.Kind.String(), Group: m.Group, State: m.StateText(listing.Order.Paused), WorkMS: int64(m.Duration) / 1000, Comment: m.Comment, RequestedBy: m.RequestedBy,
			Waits: listing.Waits[m.ID], Position: listing.Order.Position(m.ID),
		}
		if err == nil {
			status.ForMS = max(int64(listing.Now-m.Since)/1000, 0)
		}
		s.Machines = append(s.Machines, status)
	}
	return s, nil
}

// isKnown reports whether a member of this name was ever seen, whether it is alive now or not.
func (m *members) isKnown(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.known[name]
	return known
}

// maintenanceMembers returns all known members, including this gateway, as the maintenance order needs them.
func (m *members) maintenanceMembers() (all []maintenance.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.g.operators.Members
	all = append(all, maintenance.Member{Name: own.Node, Zone: own.Zone, Incarnation: m.g.incarnation})
	for _, x := range m.known {
		all = append(all, x)
	}
	return all
}

// recordMember stores a member's changed state, unless a later incarnation of the member is already known.
func (m *members) recordMember(c membership.MemberChanged) {
	x := maintenance.Member{Name: c.Name, Zone: c.Meta.Zone, Incarnation: c.Generation}
	switch c.State {
	case membership.Dead:
		x.Presence = maintenance.Dead
	case membership.Left:
		x.Presence = maintenance.Left
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, known := m.known[c.Name]; known && last.Incarnation > c.Generation {
		return
	}
	m.known[c.Name] = x
}

// resume makes this gateway take part in VRRP again for the floating addresses that releaseAll released, and accept requests
// there.
func (f *floatingAddresses) resume() {
	if f == nil {
		return
	}
	f.stopping.Store(false)
	f.releasedAll.Store(false)
	f.mu.Lock()
	for _, t := range f.current {
		t.rejectsNew.Store(false)
	}
	f.mu.Unlock()
	f.router.Startup()
}
