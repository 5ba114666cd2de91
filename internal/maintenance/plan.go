package maintenance

import (
	"fmt"
	"slices"
	"strings"

	"marblespan/internal/clock"
)

// Limits are the leader's own file's.
type Limits struct {
	MaxGateways  int // away at once
	MaxPerZone   int // of one zone
	MaxServers   int // database servers away at once, one of each group at the most
	KeepReady    int // ready gateways that a zone keeps
	MaxLoad      int // what those that stay may have to carry, in thousandths of what they can
	SettleTime   clock.Micros
	ReturnWithin clock.Micros // after which one that is returning is overdue
	ExcuseAfter  clock.Micros // after which one that is overdue holds nobody up any more; 0: never
	// HealAfter is after how long a silent holder's shards get another holder: whoever is out for longer moves them first.
	RepairAfter clock.Micros
}

// Presence is what the leader knows of whether a gateway is there.
type Presence uint8

// The presences.
const (
	Alive  Presence = iota
	Silent          // it is said to be alive, and has not reported lately
	Dead
	Left // it was ended in an orderly way
)

// Member is a gateway as the membership has it.
type Member struct {
	Name, Zone  string
	Presence    Presence // Alive, Dead or Left
	Incarnation uint64
}

// Report is what a gateway tells of itself and of what it sees.
type Report struct {
	LedgerIndex    uint64 // the ledger's index by which it acts
	Ready          bool   // it would take something new
	Idle           bool   // nothing of its own is under way, and no floating address is held
	Leads          bool   // it leads a shard, or the ledger
	Load           int    // share of its processors that it uses, in thousandths
	FloatingGroups []string
	Quiesced       []uint64 // machines in the order that it sends nothing to, and has nothing out at
	Servers        []ServerReport
}

// ServerReport is how one gateway sees a database server of a group that the order concerns.
type ServerReport struct {
	Group                             int
	Name                              string
	Primary, Down, WarmingUp, Lagging bool
}

// GatewayFact is one gateway. The report is the last one of this life.
type GatewayStatus struct {
	Name, Zone  string
	Incarnation uint64
	Presence    Presence
	Report
}

// ShardFact is one shard, or the ledger.
type ShardStatus struct {
	Hosts           []string
	Complete        bool // all its copies are there, none is on its way, and its leader says so
	UnderReplicated bool // it has fewer copies than it is to have
}

// Facts are what the leader knows beside the order.
type ClusterView struct {
	Now         clock.Micros
	AllReported bool // it has led for long enough to have heard everybody
	Gateways    []GatewayStatus
	Shards      []ShardStatus
}

// Whole is Shards by what the leader knows.
func (f *ClusterView) Complete(gateway string) bool {
	return !slices.ContainsFunc(f.Shards, func(s ShardStatus) bool { return !s.Complete && slices.Contains(s.Hosts, gateway) })
}

// Shared is Shards by what the leader knows.
func (f *ClusterView) ShareShard(a, b string) bool {
	return slices.ContainsFunc(f.Shards, func(s ShardStatus) bool { return slices.Contains(s.Hosts, a) && slices.Contains(s.Hosts, b) })
}

// holds is how many shards a gateway holds.
func (f *ClusterView) shardCount(gateway string) (n int) {
	for _, s := range f.Shards {
		if slices.Contains(s.Hosts, gateway) {
			n++
		}
	}
	return n
}

func (f *ClusterView) gateway(name string) *GatewayStatus {
	if i := slices.IndexFunc(f.Gateways, func(g GatewayStatus) bool { return g.Name == name }); i >= 0 {
		return &f.Gateways[i]
	}
	return nil
}

// seen is what all gateways that report say of a server together: the worst of it, and that it is the primary if all that know
// it say so.
func (f *ClusterView) combinedReport(group int, name string) (all ServerReport, known bool) {
	all = ServerReport{Group: group, Name: name, Primary: true}
	for _, g := range f.Gateways {
		if g.Presence != Alive {
			continue
		}
		for _, s := range g.Servers {
			if s.Group == group && s.Name == name {
				known = true
				all.Primary = all.Primary && s.Primary
				all.Down, all.WarmingUp, all.Lagging = all.Down || s.Down, all.WarmingUp || s.WarmingUp, all.Lagging || s.Lagging
			}
		}
	}
	return all, known
}

// group lists the servers of a group that anybody knows.
func (f *ClusterView) serversOfGroup(serversOfGroup int) (names []string) {
	for _, g := range f.Gateways {
		for _, s := range g.Servers {
			if g.Presence == Alive && s.Group == serversOfGroup && !slices.Contains(names, s.Name) {
				names = append(names, s.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// isPrimary tells whether any gateway takes a server for its group's primary.
func (f *ClusterView) isPrimary(group int, name string) bool {
	return slices.ContainsFunc(f.Gateways, func(g GatewayStatus) bool {
		return g.Presence == Alive && slices.ContainsFunc(g.Servers, func(s ServerReport) bool { return s.Group == group && s.Name == name && s.Primary })
	})
}

// Planner makes the decisions. It remembers only since when machines that have returned are well: another leader begins to
// count anew.
type Planner struct {
	well map[uint64]clock.Micros
}

// Clone is the same planner again.
func (p *Planner) Clone() *Planner {
	c := &Planner{well: map[uint64]clock.Micros{}}
	for k, v := range p.well {
		c.well[k] = v
	}
	return c
}

// Waits says what machines wait for, in plain words, by number.
type Waits map[uint64]string

// Listing is an order as its leader sees it.
type Listing struct {
	Order  *Order
	Waits  Waits
	Leader string       // empty: it has not answered, and the order is what is known elsewhere
	Now    clock.Micros // by the ledger's time
}

// Plan decides what is next. Those that are on their way come first; one more goes only where none of them has a step to make.
func (p *Planner) Plan(o *Order, f *ClusterView, l Limits) (steps []Step, waits Waits) {
	if p.well == nil {
		p.well = map[uint64]clock.Micros{}
	}
	for id := range p.well {
		if m := o.byID(id); m == nil || m.State != Returning {
			delete(p.well, id)
		}
	}
	waits = Waits{}
	j := judge{o, f, l}
	for _, name := range o.Excused {
		if g := f.gateway(name); f.AllReported && (g == nil || g.Presence != Dead) {
			steps = append(steps, Step{Unexcuse: name})
		}
	}
	for _, g := range f.Gateways {
		switch last := o.EnrolledIncarnation(g.Name); {
		case g.Presence == Alive && g.Incarnation > last:
			steps = append(steps, Step{Enroll: Enrollment{g.Name, g.Incarnation}})
		case g.Presence == Left && last > 0 && last <= g.Incarnation:
			steps = append(steps, Step{Unenroll: Enrollment{g.Name, g.Incarnation}})
		}
	}
	for i := range o.Machines {
		m := &o.Machines[i]
		if !m.inProgress() {
			continue
		}
		var to State
		var life uint64
		var why string
		switch {
		case m.State == Next:
			to, life, why = j.next(m)
		case m.State == Draining:
			to, life, why = j.leaving(m)
		default:
			to, life, why = p.away(j, m)
		}
		if why != "" {
			waits[m.ID] = why
		}
		switch {
		case to != m.State || life != 0 && life != m.Incarnation:
			steps = append(steps, Step{ID: m.ID, Revision: m.Revision, To: to, Incarnation: life})
		case !m.Overdue && j.late(m):
			steps = append(steps, Step{ID: m.ID, Revision: m.Revision, Overdue: true})
		case m.Overdue && !m.Overridden && l.ExcuseAfter > 0 && f.Now-m.OutSince > m.Duration+l.ExcuseAfter:
			steps = append(steps, Step{ID: m.ID, Revision: m.Revision, Override: true})
		}
	}
	for i := range o.Machines {
		m := &o.Machines[i]
		if m.State != Requested {
			continue
		}
		why := j.mayGo(m)
		if why != "" {
			waits[m.ID] = why
		} else if len(steps) == 0 { // what follows is judged on the order after it
			s := Step{ID: m.ID, Revision: m.Revision, To: Next, MaxGateways: l.MaxGateways, MaxPerZone: l.MaxPerZone, MaxServers: l.MaxServers}
			if g := f.gateway(m.Name); m.Kind == Gateway && g != nil {
				s.Zone, s.Incarnation = g.Zone, g.Incarnation
			}
			steps = append(steps, s)
		}
	}
	return steps, waits
}

// judge looks at one moment.
type judge struct {
	o *Order
	f *ClusterView
	l Limits
}

// late tells whether a machine is away for longer than it was to be.
func (j judge) late(m *Machine) bool {
	switch m.State {
	case Out:
		return j.f.Now-m.OutSince > m.Duration
	case Returning:
		return j.f.Now-m.OutSince > m.Duration+j.l.ReturnWithin || j.f.Now-m.Since > j.l.ReturnWithin
	}
	return false
}

// unheard is what is said of gateways that are there and have not reported.
const unheard = " has not reported lately"

// trouble is what is wrong that is not work itself, as seen for one machine; empty: nothing is. Load is what may be carried.
func (j judge) trouble(but *Machine, load int) string {
	if !j.f.AllReported {
		return "the ledger's leader has not heard everybody yet"
	}
	for _, g := range j.f.Gateways {
		m := j.o.Find(Gateway, g.Name, 0)
		atWork := m != nil && (m.State == Out || m.State == Returning || m == but)
		switch {
		case atWork || slices.Contains(j.o.Excused, g.Name):
		case g.Presence == Dead:
			return g.Name + " is dead"
		case g.Presence == Silent:
			return g.Name + unheard
		}
	}
	for _, s := range j.f.Shards {
		if !s.UnderReplicated || slices.ContainsFunc(s.Hosts, func(name string) bool {
			m := j.o.Find(Gateway, name, 0)
			return m != nil && m.inProgress()
		}) {
			continue
		}
		return "a shard of " + strings.Join(s.Hosts, ", ") + " has not all its copies"
	}
	return j.overload(nil, load)
}

// overload tells whether those that are ready, without one, have too much to carry.
func (j judge) overload(without *Machine, most int) string {
	load, ready := 0, 0
	for _, g := range j.f.Gateways {
		if g.Presence != Alive {
			continue
		}
		load += g.Load
		if g.Ready && (without == nil || g.Name != without.Name) {
			ready++
		}
	}
	if ready == 0 {
		return "no gateway would be left"
	}
	if load/ready > most {
		return fmt.Sprintf("those that stay would have to carry %d %% of what they can", load/ready/10)
	}
	return ""
}

// mayGo tells why a machine has to wait for its turn; empty: it may go.
func (j judge) mayGo(m *Machine) string {
	if j.o.Paused {
		return "an operator's go: all are held"
	}
	if why := j.trouble(m, j.l.MaxLoad); why != "" {
		return why
	}
	if why := j.places(m); why != "" {
		return why
	}
	if m.Kind == Server {
		return j.serverMayGo(m)
	}
	return j.gatewayMayGo(m)
}

// places tells whether the limits leave no place.
func (j judge) places(m *Machine) string {
	s := Step{MaxGateways: j.l.MaxGateways, MaxPerZone: j.l.MaxPerZone, MaxServers: j.l.MaxServers}
	if g := j.f.gateway(m.Name); m.Kind == Gateway && g != nil {
		s.Zone = g.Zone
	}
	if j.o.hasPlace(m, s) {
		return ""
	}
	var names []string
	for i := range j.o.Machines {
		if x := &j.o.Machines[i]; x.ID != m.ID && x.Kind == m.Kind && x.inProgress() {
			names = append(names, fmt.Sprintf("%s, which is %s", x.Label(), x.StateText(j.o.Paused)))
		}
	}
	return "its turn, after " + strings.Join(names, "; ")
}

func (j judge) gatewayMayGo(m *Machine) string {
	g := j.f.gateway(m.Name)
	if g == nil || g.Presence != Alive {
		return "it is not there"
	}
	ready := 0
	for _, x := range j.f.Gateways {
		if x.Presence == Alive && x.Ready && x.Zone == g.Zone && x.Name != g.Name {
			ready++
		}
	}
	if ready < j.l.KeepReady {
		return fmt.Sprintf("zone %q would be left with %d gateways that are ready", g.Zone, ready)
	}
	for _, float := range g.FloatingGroups {
		if !slices.ContainsFunc(j.f.Gateways, func(x GatewayStatus) bool {
			return x.Presence == Alive && x.Ready && x.Name != g.Name && slices.Contains(x.FloatingGroups, float)
		}) {
			return "nobody else could take the floating address of " + float
		}
	}
	if why := j.overload(m, j.l.MaxLoad); why != "" {
		return why
	}
	if why := j.o.sharedShardConflict(m, j.f); why != "" {
		return why
	}
	if !j.f.Complete(m.Name) && !j.moves(m) {
		return "a shard of it has not all its copies"
	}
	for _, x := range j.f.Gateways {
		if x.Name != m.Name && x.Presence != Alive && j.f.ShareShard(m.Name, x.Name) {
			return x.Name + " holds a shard that it holds too, and is not there"
		}
	}
	return ""
}

// moves tells whether a gateway's shards are on their way to others, because it will be out for longer than they wait for it.
func (j judge) moves(m *Machine) bool {
	return m.State == Next && j.f.shardCount(m.Name) > 0 && m.Duration > j.l.RepairAfter
}

// serverMayGo looks at the other servers of its group.
func (j judge) serverMayGo(m *Machine) string {
	if _, known := j.f.combinedReport(m.Group, m.Name); !known {
		return "no gateway knows such a server"
	}
	primary, close := false, ""
	for _, name := range j.f.serversOfGroup(m.Group) {
		if name == m.Name {
			continue
		}
		s, _ := j.f.combinedReport(m.Group, name)
		switch {
		case s.Down:
			return name + " of its group is down"
		case s.WarmingUp:
			return name + " of its group is cold"
		case s.Lagging:
			return name + " of its group is behind"
		}
		if close == "" {
			close = name
		}
		primary = primary || s.Primary
		if x := j.o.Find(Server, name, m.Group); x != nil && x.State == Requested && !s.Primary && j.f.isPrimary(m.Group, m.Name) {
			return "replicas go first, and " + name + " is in the order"
		}
	}
	switch {
	case close == "":
		return "it is the only server of its group"
	case !primary && !j.f.isPrimary(m.Group, m.Name):
		return "its group has no primary that all gateways know"
	}
	return ""
}

// next tells what becomes of one whose turn it is.
func (j judge) next(m *Machine) (to State, life uint64, why string) {
	why = j.trouble(m, j.l.MaxLoad)
	if why == "" && m.Kind == Gateway {
		why = j.gatewayMayGo(m)
	}
	if why == "" && m.Kind == Server {
		why = j.serverMayGo(m)
	}
	if why != "" {
		return Requested, 0, why
	}
	if m.Kind == Server {
		if j.f.isPrimary(m.Group, m.Name) && !m.Overridden {
			return Next, 0, "another primary: promote one of its group, or say go to it"
		}
		return Draining, 0, ""
	}
	switch {
	case j.f.gateway(m.Name).Incarnation > m.Incarnation:
		return Requested, 0, "it was started anew"
	case j.moves(m):
		return Next, 0, fmt.Sprintf("%d shards that move to other gateways, for it is out for longer than heal-after", j.f.shardCount(m.Name))
	}
	return Draining, 0, ""
}

// leaving tells what becomes of one that ends what it has.
func (j judge) leaving(m *Machine) (to State, life uint64, why string) {
	if m.Kind == Server {
		return j.serverLeaving(m)
	}
	if !j.f.AllReported {
		return Draining, 0, "the ledger's leader to have heard everybody"
	}
	g := j.f.gateway(m.Name)
	switch {
	case (g == nil || g.Presence == Dead) && m.Overridden:
		return Out, 0, ""
	case g == nil || g.Presence == Dead:
		return Draining, 0, "an operator's go: it died while it was leaving, and may only be cut off"
	case g.Presence == Left && g.Incarnation >= m.Incarnation: // it has answered all that it had, as on any orderly end
		return Out, 0, ""
	case g.Incarnation > m.Incarnation:
		return Requested, 0, "it was started anew while it was leaving"
	case g.Presence == Silent:
		return Draining, 0, "its word that nothing is under way"
	}
	// Who is only not heard is no reason to change one's mind.
	if why := j.trouble(m, j.l.MaxLoad+j.l.MaxLoad/4); why != "" && !strings.HasSuffix(why, unheard) {
		return Requested, 0, why
	}
	switch {
	case g.Incarnation < m.Incarnation || g.LedgerIndex < m.ChangeIndex:
		return Draining, 0, "its word that it knows"
	case !g.Idle:
		return Draining, 0, "what is under way there"
	case g.Leads:
		return Draining, 0, "others to lead what it leads"
	}
	return Out, 0, ""
}

// serverLeaving waits for every gateway to be done with a server.
func (j judge) serverLeaving(m *Machine) (to State, life uint64, why string) {
	if why := j.serverMayGo(m); why != "" && !strings.HasPrefix(why, "no gateway knows") && !m.Overridden {
		return Requested, 0, why
	}
	if !j.f.AllReported {
		return Draining, 0, "the ledger's leader to have heard everybody"
	}
	var names, absent []string
	for _, e := range j.o.Roster {
		g := j.f.gateway(e.Name)
		there := g != nil && g.Presence == Alive
		switch {
		case there && g.Incarnation == e.Incarnation && g.LedgerIndex >= m.ChangeIndex && slices.Contains(g.Quiesced, m.ID):
		case there:
			names = append(names, e.Name)
		case !m.Overridden && !j.wasOut(e):
			absent = append(absent, e.Name)
		}
	}
	if len(names) > 0 {
		why = "the word of " + strings.Join(names, ", ") + " that nothing is out there"
	}
	if len(absent) > 0 {
		why = strings.TrimPrefix(why+"; "+strings.Join(absent, ", ")+" cannot be reached and may still send there: say go if it cannot", "; ")
	}
	if why == "" {
		return Out, 0, ""
	}
	return Draining, 0, why
}

// wasOut tells whether a gateway has had nothing under way since it was last heard: it may be touched, takes nothing, and whatever
// is started of it enrolls first.
func (j judge) wasOut(e Enrollment) bool {
	m := j.o.Find(Gateway, e.Name, 0)
	return m != nil && m.State == Out && m.Incarnation >= e.Incarnation
}

// away tells what becomes of one that is out, or on its way back.
func (p *Planner) away(j judge, m *Machine) (to State, life uint64, why string) {
	if m.Kind == Server {
		return p.serverAway(j, m)
	}
	g := j.f.gateway(m.Name)
	there := g != nil && g.Presence == Alive
	if m.State == Out {
		if there && g.Incarnation > m.Incarnation {
			return Returning, g.Incarnation, ""
		}
		return Out, 0, "the work to be done"
	}
	switch {
	case g != nil && (g.Presence == Dead || g.Presence == Left):
		return Out, 0, "it to come back"
	case !there:
		why = "its word"
	case g.Incarnation > m.Incarnation:
		return Returning, g.Incarnation, "it to stay: it was started anew"
	case g.Incarnation < m.Incarnation || g.LedgerIndex < m.ChangeIndex:
		why = "its word that it knows"
	case !g.Ready:
		why = "it to be ready"
	case !j.f.Complete(m.Name):
		why = "its shards to have all their copies"
	}
	return p.settle(j, m, why)
}

func (p *Planner) serverAway(j judge, m *Machine) (to State, life uint64, why string) {
	if m.State == Out {
		return Out, 0, "the work to be done, and done to be said"
	}
	s, known := j.f.combinedReport(m.Group, m.Name)
	switch {
	case !known:
		why = "the list to name it"
	case s.Down:
		why = "it to answer everybody"
	case s.WarmingUp:
		why = "it to be warm"
	case s.Lagging:
		why = "it to catch up"
	}
	return p.settle(j, m, why)
}

// settle counts for how long one that has returned has been well.
func (p *Planner) settle(j judge, m *Machine, why string) (State, uint64, string) {
	if why != "" {
		delete(p.well, m.ID)
		return Returning, 0, why
	}
	since, counting := p.well[m.ID]
	if !counting {
		since = j.f.Now
		p.well[m.ID] = since
	}
	if j.f.Now-since < j.l.SettleTime {
		return Returning, 0, "it to stay well for a while"
	}
	return Back, 0, ""
}
