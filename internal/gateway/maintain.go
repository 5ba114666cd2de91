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

// reportEvery is how often a gateway reports for the order of maintenance; a change of the order is acted on at once.
const reportEvery = 250 * time.Millisecond

// roleLately is for how long after a group was asked for its primary counts as known here.
const roleLately = clock.Micros(5 * time.Second / time.Microsecond)

// lingerFor is for how long a gateway that leaves waits for another one to take a floating address that lingers.
const lingerFor = 2 * time.Second

// sayBy is how long an operator's command may take; the control socket waits a little longer.
const sayBy = 1500 * time.Millisecond

// upkeep is the gateway's part in the order of maintenance: it takes nothing new when its turn says so, sends servers nothing new
// when theirs does, and reports. A nil one is a gateway without. What the order is to be is decided where the ledger is led.
type upkeep struct {
	g     *Gateway
	began time.Time
	wake  chan struct{}
	quit  chan struct{}
	done  sync.WaitGroup

	next     atomic.Pointer[ordered] // the latest order, not yet acted on
	unheard  atomic.Int64            // how long a start waits for the ledger, nanoseconds
	behind   atomic.Int64            // from when on a replica counts as behind, microseconds
	enrolled atomic.Bool             // the ledger knows this life
	leaving  atomic.Bool             // nothing new is admitted; a front sees that it is not ready
	shut     atomic.Bool             // nor is it taken from clients that have a connection

	// By the goroutine only.
	now    ordered
	life   uint64
	since  time.Time // when it began to leave
	spent  time.Duration
	spun   time.Time
	loaded int // in thousandths
}

// ordered is an order, and the ledger's index that it is of.
type ordered struct {
	index uint64
	*maintenance.Order
}

// newUpkeep is the part that the operators' file asks for; nil: none.
func newUpkeep(g *Gateway) *upkeep {
	if g.ops.Maintenance == nil {
		return nil
	}
	u := &upkeep{g: g, began: time.Now(), wake: make(chan struct{}, 1), quit: make(chan struct{}), now: ordered{Order: &maintenance.Order{}}, life: g.life}
	u.configure(g.ops.Maintenance)
	return u
}

func (u *upkeep) configure(c *config.Maintenance) {
	u.unheard.Store(int64(c.LedgerTimeout))
	u.behind.Store(c.MaxReplicaLag.Microseconds())
}

// limits says the file's limits in the order's terms.
func limits(ops *config.Operators) *maintenance.Limits {
	c := ops.Maintenance
	if c == nil || ops.StateStore == nil {
		return nil
	}
	span := func(d time.Duration) clock.Micros { return clock.Micros(d.Microseconds()) }
	return &maintenance.Limits{
		MaxGateways: c.MaxGateways, MaxPerZone: c.MaxPerZone, MaxServers: c.MaxServers, KeepReady: c.KeepReady, MaxLoad: c.MaxLoad * 10, SettleTime: span(c.SettleTime), ReturnWithin: span(c.ReturnWithin),
		ExcuseAfter: span(c.ExcuseAfter), RepairAfter: span(ops.StateStore.RepairAfter),
	}
}

// start begins to take part.
func (u *upkeep) start() {
	if u != nil {
		u.done.Add(1)
		go u.run()
	}
}

func (u *upkeep) close() {
	if u != nil {
		close(u.quit)
		u.done.Wait()
	}
}

func (u *upkeep) reload(ops *config.Operators) {
	if u != nil && ops.Maintenance != nil && ops.StateStore != nil {
		u.configure(ops.Maintenance)
		u.g.store.SetMaintenanceLimits(*limits(ops))
	}
}

// ordered is told of each change of the order, as the store hears of it. It does not wait.
func (u *upkeep) ordered(index uint64, o *maintenance.Order) {
	u.next.Store(&ordered{index, o})
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// admits tells whether anything new is to come here. A gateway that starts has to be known to the ledger first, and knows with
// that which servers are left alone; where the ledger cannot be heard it serves all the same, after a while.
func (u *upkeep) admits() bool {
	return u == nil || !u.leaving.Load() && (u.enrolled.Load() || time.Since(u.began) > time.Duration(u.unheard.Load()))
}

// takes tells whether a request is taken.
func (u *upkeep) takes() bool { return !u.shut.Load() && (u.leaving.Load() || u.admits()) }

func (u *upkeep) run() {
	defer u.done.Done()
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-u.quit:
			return
		case <-tick.C:
		case <-u.wake:
		}
		if next := u.next.Load(); next != nil && next.index != u.now.index {
			u.act(*next)
		}
		u.leave()
		u.report()
	}
}

// act does what an order says.
func (u *upkeep) act(next ordered) {
	node := u.g.ops.Members.Node
	u.logChanges(next.Order)
	if known := next.EnrolledIncarnation(node); known > u.life && !u.enrolled.Load() {
		u.life = known + 1 // the clock was set back since the last start
	}
	u.enrolled.Store(next.EnrolledIncarnation(node) == u.life)
	var aside []string
	for i := range next.Machines {
		if m := &next.Machines[i]; m.Kind == maintenance.Server && m.Cordoned() {
			aside = append(aside, m.Name)
		}
	}
	if !u.g.owner.Call(func(c *routing.Core) { c.SetCordoned(aside) }) {
		return
	}
	m := next.Find(maintenance.Gateway, node, 0)
	switch leaves := m != nil && m.Cordoned(); {
	case u.g.stopping.Load(): // it ends, whatever the order says
	case leaves && !u.leaving.Load():
		u.since = time.Now()
		u.leaving.Store(true)
		u.g.members.setDraining(true)
		u.g.floats.giveUp(false)
	case !leaves && u.leaving.Load():
		u.g.members.setDraining(false)
		u.g.clients.Resume()
		u.shut.Store(false)
		u.leaving.Store(false)
		u.g.floats.resume()
	}
	u.now = next
}

// leave goes on with leaving: fronts and clients have a moment to see it, as on SIGTERM; then idle clients are sent away, and a
// floating address that nobody has taken is let go.
func (u *upkeep) leave() {
	if !u.leaving.Load() || u.g.stopping.Load() {
		return
	}
	if !u.shut.Load() && time.Since(u.since) > drainAfter {
		u.shut.Store(true)
		u.g.clients.Drain(transport.EndMaintenance)
	}
	if time.Since(u.since) > lingerFor && u.g.floats.holds() > 0 {
		u.g.floats.giveUp(true)
	}
}

// idle tells whether nothing is under way here, and nothing comes any more.
func (u *upkeep) idle(open int) bool {
	return u.shut.Load() && open == 0 && u.g.clients.Busy() == 0 && u.g.floats.holds() == 0 && u.g.floats.open() == 0 &&
		(u.g.bookings == nil || len(u.g.bookings.InFlight()) == 0)
}

// report tells the ledger's leader what this gateway is and sees.
func (u *upkeep) report() {
	groups := map[int]bool{}
	for i := range u.now.Machines {
		if m := &u.now.Machines[i]; m.Kind == maintenance.Server && m.State < maintenance.Back {
			groups[m.Group] = true
		}
	}
	r := maintenance.Report{LedgerIndex: u.now.index, Load: u.load()}
	open := 0
	if !u.g.owner.Call(func(c *routing.Core) {
		open = c.OpenRequests()
		for _, s := range c.Servers(groups) {
			primary := s.ServerView.Primary
			if u.g.clock.Now()-s.LastRequestAt > roleLately { // nobody looks for the primary here; the list may know better
				primary = s.Endpoint.Primary
			}
			r.Servers = append(r.Servers, maintenance.ServerReport{
				Group: s.Group, Name: s.UID, Primary: primary, WarmingUp: s.InSlowStart,
				Down:    s.Down || s.State != policy.EndpointReady && u.now.Find(maintenance.Server, s.UID, s.Group) == nil,
				Lagging: !primary && int64(s.Lag) > u.behind.Load(),
			})
		}
		for i := range u.now.Machines {
			if m := &u.now.Machines[i]; m.Kind == maintenance.Server && m.Cordoned() && c.InFlightAt(m.Name) == 0 {
				r.Quiesced = append(r.Quiesced, m.ID)
			}
		}
	}) {
		return
	}
	slices.SortFunc(r.Servers, func(a, b maintenance.ServerReport) int { return strings.Compare(a.Name, b.Name) })
	r.Ready = u.admits() && u.g.isReady() && !u.g.stopping.Load()
	r.Idle = u.leaving.Load() && u.idle(open)
	for _, s := range u.g.floats.status() {
		if s.Ready {
			r.FloatingGroups = append(r.FloatingGroups, s.Group)
		}
	}
	u.g.store.SetMaintenanceReport(u.life, r)
}

// load is the share of its processors that the process has used since it was last asked, in thousandths.
func (u *upkeep) load() int {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	spent := time.Duration(use.Utime.Nano() + use.Stime.Nano())
	now := time.Now()
	if now.Sub(u.spun) < reportEvery/2 { // too short a time to tell
		return u.loaded
	}
	if !u.spun.IsZero() {
		u.loaded = int(float64(spent-u.spent) * 1000 / (float64(now.Sub(u.spun)) * math.Max(u.g.cfg.Cores, 0.01)))
	}
	u.spent, u.spun = spent, now
	return u.loaded
}

// logChanges tells the log which machines stand elsewhere than before.
func (u *upkeep) logChanges(next *maintenance.Order) {
	before := map[uint64]string{}
	for i := range u.now.Machines {
		m := &u.now.Machines[i]
		before[m.ID] = m.StateText(u.now.Paused)
	}
	for i := range 2 * len(next.Machines) { // those that are in service again first: what is read in order is never more than there was
		m := &next.Machines[i%len(next.Machines)]
		back := m.State == maintenance.Requested || m.State >= maintenance.Back
		if to := m.StateText(next.Paused); before[m.ID] != to && back == (i < len(next.Machines)) {
			u.g.log.Info().Str("machine", m.Label()).Stringer("kind", m.Kind).Uint64("number", m.ID).Str("from", before[m.ID]).Str("to", to).Msg("maintenance")
		}
	}
}

// MaintainStatus is the order of maintenance, for whoever asks.
type MaintainStatus struct {
	Node     string           `json:"node"`             // the asked gateway
	Leader   string           `json:"leader,omitempty"` // of the ledger; empty: it has not answered, and this is what is known here
	Held     bool             `json:"held"`
	Machines []MaintainedUnit `json:"machines"`
}

// MaintainedUnit is one machine in the order.
type MaintainedUnit struct {
	Place   int    `json:"place,omitempty"` // among those that are in hand; 0: it is done with
	Machine string `json:"machine"`
	Kind    string `json:"kind"`
	Group   int    `json:"group,omitempty"`
	State   string `json:"state"`
	ForMS   int64  `json:"for_ms"` // it is in this state
	WorkMS  int64  `json:"work_ms"`
	Waits   string `json:"waits,omitempty"`
	Why     string `json:"why,omitempty"`
	By      string `json:"by,omitempty"`
}

var errNoMaintenance = errors.New("this gateway has no maintenance section")

// askMaintenance answers what operators say and ask about maintenance.
func (g *Gateway) askMaintenance(words []string) (any, error) {
	if g.upkeep == nil || g.store == nil {
		return nil, errNoMaintenance
	}
	by := time.Now().Add(sayBy)
	if len(words) == 0 {
		return g.maintenanceList(by)
	}
	c := maintenance.Command{RequestedBy: g.ops.Members.Node, Duration: clock.Micros(g.ops.Maintenance.DefaultDuration.Microseconds())}
	var err error
	if c.Verb = map[string]maintenance.Verb{
		"add": maintenance.Add, "done": maintenance.Done, "drop": maintenance.Cancel, "hold": maintenance.Pause, "go": maintenance.Resume,
	}[words[0]]; c.Verb == 0 {
		return nil, fmt.Errorf("unknown question %.40q", "maintain "+words[0])
	}
	if len(words) > 1 {
		if c.Name, err = strconv.Unquote(words[1]); err != nil || c.Name == "" || len(c.Name) > maintenance.MaxNameLength {
			return nil, fmt.Errorf("%.60s is no machine's name", words[1])
		}
	}
	if len(words) > 2 {
		d, err := time.ParseDuration(words[2])
		if err != nil || d < 0 {
			return nil, fmt.Errorf("%.20q is no span", words[2])
		}
		if d > 0 {
			c.Duration = clock.Micros(d.Microseconds())
		}
	}
	if len(words) > 3 {
		if c.Comment, err = strconv.Unquote(strings.Join(words[3:], " ")); err != nil || len(c.Comment) > maintenance.MaxCommentLength {
			return nil, fmt.Errorf("a reason has %d bytes at the most", maintenance.MaxCommentLength)
		}
	}
	if c.Name != "" {
		if err := g.findMachine(&c); err != nil {
			return nil, err
		}
	}
	return g.store.RunMaintenanceCommand(c, by)
}

// findMachine tells what kind of machine a name is: a gateway among the members, or a server on the list. Where both have it, or
// to be sure, "gateway:" or "server:" stands before it.
func (g *Gateway) findMachine(c *maintenance.Command) error {
	kind, name, said := strings.Cut(c.Name, ":")
	if !said || kind != "gateway" && kind != "server" {
		kind, name = "", c.Name
	}
	c.Name = name
	order := &maintenance.Order{}
	if o := g.upkeep.next.Load(); o != nil {
		order = o.Order
	}
	gateway := name == g.ops.Members.Node || g.members.knows(name) || order.Find(maintenance.Gateway, name, 0) != nil
	var server bool
	group := 0
	if m := order.Find(maintenance.Server, name, -1); m != nil {
		server, group = true, m.Group
	}
	g.owner.Call(func(core *routing.Core) {
		if at, known := core.GroupOf(name); known {
			server, group = true, at
		}
	})
	switch {
	case kind == "gateway" || kind == "" && gateway && !server:
		if !gateway {
			return fmt.Errorf("no gateway %s is known here", name)
		}
	case kind == "server" || kind == "" && server && !gateway:
		if !server {
			return fmt.Errorf("no server %s is on the list", name)
		}
		c.Kind, c.Group = maintenance.Server, group
	case gateway && server:
		return fmt.Errorf("%s is a gateway and a server: say gateway:%s or server:%s", name, name, name)
	default:
		return fmt.Errorf("no gateway and no server %s is known here", name)
	}
	return nil
}

func (g *Gateway) maintenanceList(by time.Time) (MaintainStatus, error) {
	l, err := g.store.MaintenanceListing(by)
	s := MaintainStatus{Node: g.ops.Members.Node, Leader: l.Leader, Held: l.Order.Paused, Machines: []MaintainedUnit{}}
	for i := range l.Order.Machines {
		m := &l.Order.Machines[i]
		x := MaintainedUnit{
			Machine: m.Name, Kind: m.Kind.String(), Group: m.Group, State: m.StateText(l.Order.Paused), WorkMS: int64(m.Duration) / 1000, Why: m.Comment, By: m.RequestedBy,
			Waits: l.Waits[m.ID], Place: l.Order.Position(m.ID),
		}
		if err == nil {
			x.ForMS = max(int64(l.Now-m.Since)/1000, 0)
		}
		s.Machines = append(s.Machines, x)
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

// present lists who there is, this gateway among them.
func (m *members) present() (all []maintenance.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.g.ops.Members
	all = append(all, maintenance.Member{Name: own.Node, Zone: own.Zone, Incarnation: m.g.life})
	for _, x := range m.known {
		all = append(all, x)
	}
	return all
}

// noted keeps who there is.
func (m *members) noted(c membership.MemberChanged) {
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

// resume takes part again in floating addresses that were given up.
func (f *floats) resume() {
	if f == nil {
		return
	}
	f.stopping.Store(false)
	f.stopped.Store(false)
	f.mu.Lock()
	for _, t := range f.holding {
		t.ending.Store(false)
	}
	f.mu.Unlock()
	f.speaker.Resume()
}
