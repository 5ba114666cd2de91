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

// reportInterval is how often a gateway reports for the maintenance order; a change of the order is acted on at once.
const reportInterval = 250 * time.Millisecond

// roleFreshness is for how long after a request to a group its primary counts as known here.
const roleFreshness = clock.Micros(5 * time.Second / time.Microsecond)

// lingerTimeout is for how long a draining gateway waits for another one to take a floating address that lingers.
const lingerTimeout = 2 * time.Second

// commandTimeout is how long an operator's command may take; the control socket waits a little longer.
const commandTimeout = 1500 * time.Millisecond

// maintenanceAgent is the gateway's part in the maintenance order (internal/maintenance): it admits nothing new when its own
// turn says so, sends servers nothing new when theirs does, and reports. A nil one is a gateway without. It decides nothing:
// the order is decided by the ledger's leader. Its loop runs on a goroutine of its own, which close ends.
type maintenanceAgent struct {
	g     *Gateway
	began time.Time
	wake  chan struct{}
	quit  chan struct{}
	done  sync.WaitGroup

	next            atomic.Pointer[indexedOrder] // the latest order, not yet applied
	ledgerTimeout   atomic.Int64                 // how long a start waits for the ledger, nanoseconds
	maxReplicaLag   atomic.Int64                 // from when on a replica counts as behind, microseconds
	enrolled        atomic.Bool                  // the ledger knows this incarnation
	draining        atomic.Bool                  // nothing new is admitted; a front sees that it is not ready
	closedToClients atomic.Bool                  // nor are requests accepted of clients that have a connection

	// Owned by the loop's goroutine.
	order         indexedOrder
	incarnation   uint64
	drainingSince time.Time // when it began to drain
	cpuUsed       time.Duration
	cpuSampledAt  time.Time
	lastLoad      int // in thousandths
}

// indexedOrder is an order, and the ledger's index that it is of.
type indexedOrder struct {
	index uint64
	*maintenance.Order
}

// newMaintenanceAgent makes the agent that the operators' file asks for; nil: none.
func newMaintenanceAgent(g *Gateway) *maintenanceAgent {
	if g.operators.Maintenance == nil {
		return nil
	}
	a := &maintenanceAgent{g: g, began: time.Now(), wake: make(chan struct{}, 1), quit: make(chan struct{}), order: indexedOrder{Order: &maintenance.Order{}}, incarnation: g.incarnation}
	a.configure(g.operators.Maintenance)
	return a
}

// configure puts the section's settings in force.
func (a *maintenanceAgent) configure(c *config.Maintenance) {
	a.ledgerTimeout.Store(int64(c.LedgerTimeout))
	a.maxReplicaLag.Store(c.MaxReplicaLag.Microseconds())
}

// maintenanceLimits translates the operators' limits into the order's; nil: there is no maintenance.
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

// reload takes over what may change.
func (a *maintenanceAgent) reload(ops *config.Operators) {
	if a != nil && ops.Maintenance != nil && ops.StateStore != nil {
		a.configure(ops.Maintenance)
		a.g.store.SetMaintenanceLimits(*maintenanceLimits(ops))
	}
}

// orderChanged is called with each change of the order, by the state store's goroutine. It does not block.
func (a *maintenanceAgent) orderChanged(index uint64, o *maintenance.Order) {
	a.next.Store(&indexedOrder{index, o})
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// admits tells whether anything new is to be admitted here. A gateway that starts must first find itself enrolled in the
// ledger, and knows with that which servers are cordoned; where the ledger cannot be heard it serves all the same after the
// ledger timeout.
func (a *maintenanceAgent) admits() bool {
	return a == nil || !a.draining.Load() && (a.enrolled.Load() || time.Since(a.began) > time.Duration(a.ledgerTimeout.Load()))
}

// acceptsRequests tells whether a request of a client that is connected is accepted. A draining gateway still accepts them for
// a moment.
func (a *maintenanceAgent) acceptsRequests() bool {
	return !a.closedToClients.Load() && (a.draining.Load() || a.admits())
}

// run is the agent's loop.
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

// apply acts on a new order: it cordons servers, and begins or ends draining.
func (a *maintenanceAgent) apply(next indexedOrder) {
	node := a.g.operators.Members.Node
	a.logChanges(next.Order)
	if known := next.EnrolledIncarnation(node); known > a.incarnation && !a.enrolled.Load() {
		a.incarnation = known + 1 // the clock was set back since the last start
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
	case a.g.stopping.Load(): // it shuts down, whatever the order says
	case drain && !a.draining.Load():
		a.drainingSince = time.Now()
		a.draining.Store(true)
		a.g.members.setDraining(true)
		a.g.floating.releaseAll(false)
	case !drain && a.draining.Load():
		a.g.members.setDraining(false)
		a.g.clients.Resume()
		a.closedToClients.Store(false)
		a.draining.Store(false)
		a.g.floating.resume()
	}
	a.order = next
}

// continueDrain goes on with draining: fronts and clients have a moment to see it, as on SIGTERM; then idle clients are sent
// away, and a floating address that nobody has taken is released.
func (a *maintenanceAgent) continueDrain() {
	if !a.draining.Load() || a.g.stopping.Load() {
		return
	}
	if !a.closedToClients.Load() && time.Since(a.drainingSince) > minDrainDelay {
		a.closedToClients.Store(true)
		a.g.clients.Drain(transport.EndMaintenance)
	}
	if time.Since(a.drainingSince) > lingerTimeout && a.g.floating.holds() > 0 {
		a.g.floating.releaseAll(true)
	}
}

// idle tells whether nothing is in flight here, and nothing new is admitted. open is how many requests the routing core has.
func (a *maintenanceAgent) idle(open int) bool {
	return a.closedToClients.Load() && open == 0 && a.g.clients.Busy() == 0 && a.g.floating.holds() == 0 && a.g.floating.open() == 0 &&
		(a.g.intents == nil || len(a.g.intents.InFlight()) == 0)
}

// sendReport reports to the ledger's leader what this gateway is and sees.
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
			if a.g.clock.Now()-s.LastRequestAt > roleFreshness { // nobody has asked for the primary here lately; the endpoint list may know better
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

// sampleLoad is the share of its processors that the process has used since the last sample, in thousandths.
func (a *maintenanceAgent) sampleLoad() int {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	spent := time.Duration(use.Utime.Nano() + use.Stime.Nano())
	now := time.Now()
	if now.Sub(a.cpuSampledAt) < reportInterval/2 { // too short an interval to measure
		return a.lastLoad
	}
	if !a.cpuSampledAt.IsZero() {
		a.lastLoad = int(float64(spent-a.cpuUsed) * 1000 / (float64(now.Sub(a.cpuSampledAt)) * math.Max(a.g.cfg.Cores, 0.01)))
	}
	a.cpuUsed, a.cpuSampledAt = spent, now
	return a.lastLoad
}

// logChanges logs each machine whose state differs from the last order's.
func (a *maintenanceAgent) logChanges(next *maintenance.Order) {
	before := map[uint64]string{}
	for i := range a.order.Machines {
		m := &a.order.Machines[i]
		before[m.ID] = m.StateText(a.order.Paused)
	}
	for i := range 2 * len(next.Machines) { // those that are in service again first, so that a reader of the log never counts more away than there were
		m := &next.Machines[i%len(next.Machines)]
		back := m.State == maintenance.Requested || m.State >= maintenance.Back
		if to := m.StateText(next.Paused); before[m.ID] != to && back == (i < len(next.Machines)) {
			a.g.log.Info().Str("machine", m.Label()).Stringer("kind", m.Kind).Uint64("number", m.ID).Str("from", before[m.ID]).Str("to", to).Msg("maintenance state changed")
		}
	}
}

// MaintenanceStatus is the maintenance order, as operators read it.
type MaintenanceStatus struct {
	Node     string          `json:"node"`             // the asked gateway
	Leader   string          `json:"leader,omitempty"` // of the ledger; empty: it has not answered, and this is what is known here
	Paused   bool            `json:"held"`
	Machines []MachineStatus `json:"machines"`
}

// MachineStatus is one machine in the order.
type MachineStatus struct {
	Position    int    `json:"place,omitempty"` // among those that are active; 0: its maintenance is over
	Machine     string `json:"machine"`
	Kind        string `json:"kind"`
	Group       int    `json:"group,omitempty"`
	State       string `json:"state"`
	ForMS       int64  `json:"for_ms"` // it is in this state
	WorkMS      int64  `json:"work_ms"`
	Waits       string `json:"waits,omitempty"`
	Comment     string `json:"why,omitempty"`
	RequestedBy string `json:"by,omitempty"`
}

// errNoMaintenance is the answer of a gateway without a maintenance section.
var errNoMaintenance = errors.New("this gateway has no maintenance section")

// answerMaintenance answers operators' commands and questions about maintenance.
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

// maintenanceVerbs are the verbs by the control socket's words.
var maintenanceVerbs = map[string]maintenance.Verb{
	"add": maintenance.Add, "done": maintenance.Done, "drop": maintenance.Cancel, "hold": maintenance.Pause, "go": maintenance.Resume,
}

// parseMaintenanceCommand reads a verb, a quoted name of a machine, how long the work takes, and a quoted comment; all but the first
// may be missing. A duration that is missing or 0 is defaultDuration.
func parseMaintenanceCommand(words []string, defaultDuration clock.Micros) (c maintenance.Command, err error) {
	c.Duration = defaultDuration
	if c.Verb = maintenanceVerbs[words[0]]; c.Verb == 0 {
		return c, fmt.Errorf("unknown question %.40q", "maintain "+words[0])
	}
	if len(words) > 1 {
		if c.Name, err = strconv.Unquote(words[1]); err != nil || c.Name == "" || len(c.Name) > maintenance.MaxNameLength {
			return c, fmt.Errorf("%.60s is no machine's name", words[1])
		}
	}
	if len(words) > 2 {
		duration, err := time.ParseDuration(words[2])
		if err != nil || duration < 0 {
			return c, fmt.Errorf("%.20q is no span", words[2])
		}
		if duration > 0 {
			c.Duration = micros(duration)
		}
	}
	if len(words) > 3 {
		if c.Comment, err = strconv.Unquote(strings.Join(words[3:], " ")); err != nil || len(c.Comment) > maintenance.MaxCommentLength {
			return c, fmt.Errorf("a reason has %d bytes at the most", maintenance.MaxCommentLength)
		}
	}
	return c, nil
}

// findMachine finds out what kind of machine a name is: a gateway among the members, or a server on the endpoint list. Where
// both have it, or to be sure, "gateway:" or "server:" stands before it.
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
	isGateway := name == g.operators.Members.Node || g.members.knows(name) || order.Find(maintenance.Gateway, name, 0) != nil
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
			return fmt.Errorf("no gateway %s is known here", name)
		}
	case kind == "server" || kind == "" && isServer && !isGateway:
		if !isServer {
			return fmt.Errorf("no server %s is on the list", name)
		}
		command.Kind, command.Group = maintenance.Server, group
	case isGateway && isServer:
		return fmt.Errorf("%s is a gateway and a server: say gateway:%s or server:%s", name, name, name)
	default:
		return fmt.Errorf("no gateway and no server %s is known here", name)
	}
	return nil
}

// maintenanceList is the order by its leader or, if that does not answer, as it is known here.
func (g *Gateway) maintenanceList(deadline time.Time) (MaintenanceStatus, error) {
	listing, err := g.store.MaintenanceListing(deadline)
	s := MaintenanceStatus{Node: g.operators.Members.Node, Leader: listing.Leader, Paused: listing.Order.Paused, Machines: []MachineStatus{}}
	for i := range listing.Order.Machines {
		m := &listing.Order.Machines[i]
		unit := MachineStatus{
			Machine: m.Name, Kind: m.Kind.String(), Group: m.Group, State: m.StateText(listing.Order.Paused), WorkMS: int64(m.Duration) / 1000, Comment: m.Comment, RequestedBy: m.RequestedBy,
			Waits: listing.Waits[m.ID], Position: listing.Order.Position(m.ID),
		}
		if err == nil {
			unit.ForMS = max(int64(listing.Now-m.Since)/1000, 0)
		}
		s.Machines = append(s.Machines, unit)
	}
	return s, nil
}

// knows tells whether a member of a name is known, there or not.
func (m *members) knows(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.known[name]
	return known
}

// presences lists who there is, this gateway among them.
func (m *members) presences() (all []maintenance.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.g.operators.Members
	all = append(all, maintenance.Member{Name: own.Node, Zone: own.Zone, Incarnation: m.g.incarnation})
	for _, x := range m.known {
		all = append(all, x)
	}
	return all
}

// recordPresence keeps what the membership tells of a gateway, unless a later incarnation of it is known.
func (m *members) recordPresence(c membership.MemberChanged) {
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

// resume takes part again in floating addresses that were released.
func (f *floatingAddresses) resume() {
	if f == nil {
		return
	}
	f.stopping.Store(false)
	f.releasedAll.Store(false)
	f.mu.Lock()
	for _, t := range f.holding {
		t.ending.Store(false)
	}
	f.mu.Unlock()
	f.speaker.Startup()
}
