package config

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"marblespan/internal/config/lines"
)

// EnvOperators names the operators' file where the command line does not.
const EnvOperators = "MARBLESPAN_CONF"

// Operators is the operators' own file. What it does not name is off; without the file everything in it is.
type Operators struct {
	lines.Source
	Control     string       `conf:"control" validate:"max=100"` // a local socket for questions
	Members     *Members     `section:"members" validate:"-"`
	StateStore  *StateStore  `section:"state-store" validate:"-"`
	VRRP        *VRRP        `section:"vrrp" validate:"-"`
	Groups      []Group      `section:"group" validate:"-"`
	InDoubt     []InDoubt    `section:"in-doubt" validate:"-"`
	Maintenance *Maintenance `section:"maintenance" validate:"-"`

	file        string
	formerWords []FormerWord
}

// Members is how gateways know who of them is there.
type Members struct {
	lines.Source
	Node       string           `conf:"node" validate:"required,max=40,printascii"`
	Deployment string           `conf:"deployment" validate:"max=40"`
	Bind       netip.AddrPort   `conf:"bind" validate:"required"`
	Advertise  netip.AddrPort   `conf:"advertise"` // where others reach it, if not at bind
	Join       []netip.AddrPort `conf:"join" validate:"max=64"`
	Keys       []Key            `conf:"key,secret" validate:"min=1,max=4,unique=Number,dive"`
	Zone       string           `conf:"zone" validate:"max=20"`
	Weight     uint32           `conf:"weight"`
	Interval   time.Duration    `conf:"interval"`
	Via        []Via            `conf:"via" validate:"max=1024,unique=At"`
}

// Via is where an address that a member advertises is reached from here.
type Via struct{ At, Via netip.AddrPort }

// Defaults are what a members section has that it does not name.
func (m *Members) Defaults() { m.Weight, m.Interval = 1, defaultProbeInterval }

// Copies is what gateways hold for each other.
type StateStore struct {
	lines.Source
	RaftNodes    []string      `conf:"raft-nodes" validate:"min=1,max=1024,dive,min=1,max=40"` // names, or all
	Voters       int           `conf:"voters" validate:"oneof=1 3 5"`
	Shards       int           `conf:"shards" validate:"min=1,max=64"`
	Storage      []string      `conf:"storage" validate:"min=1,max=2"` // memory, or disk and a path
	Witness      string        `conf:"witness" validate:"max=200"`
	Heartbeat    time.Duration `conf:"heartbeat"`
	RepairAfter  time.Duration `conf:"repair-after"`
	MaxRepairs   int           `conf:"max-repairs" validate:"min=1,max=64"`
	RepairRate   lines.Size    `conf:"repair-rate" validate:"min=65536"`
	Memory       lines.Size    `conf:"memory" validate:"min=65536"` // of a shard's records
	SessionMarks []string      `conf:"session-marks" validate:"max=64"`
	MarksMode    string        `conf:"marks-mode" validate:"oneof=safe fast"`
	MarksTTL     time.Duration `conf:"marks-ttl"`
}

// Defaults are what a copies section has that it does not name.
func (c *StateStore) Defaults() {
	c.Voters, c.Shards, c.Heartbeat, c.RepairAfter, c.MaxRepairs = 3, 16, 100*time.Millisecond, 10*time.Minute, 2
	c.RepairRate, c.Memory, c.MarksMode, c.MarksTTL = 8<<20, 4<<20, "safe", time.Hour
}

// AllHolders stands for every gateway among the holders.
const AllMembers = "all"

// Holds tells whether a gateway is among the holders.
func (c *StateStore) RunsRaftNode(node string) bool {
	return slices.Contains(c.RaftNodes, AllMembers) || slices.Contains(c.RaftNodes, node)
}

// Path is the file of the store; empty: it is memory.
func (c *StateStore) StoragePath() string {
	if len(c.Storage) == 2 {
		return c.Storage[1]
	}
	return ""
}

// InDoubt is what is promised of the bookings of a class before they are sent.
type InDoubt struct {
	lines.Source
	Class       string        `title:"true" validate:"required,max=64"`
	Clients     string        `conf:"clients" validate:"oneof=mark do-not-mark"` // what they ask again
	Order       string        `conf:"order" validate:"oneof=safe fast"`
	Retention   time.Duration `conf:"retention"`
	MaxInFlight int           `conf:"max-in-flight" validate:"min=1,max=16384"`  // bookings in hand
	Lookup      []string      `conf:"lookup" validate:"max=2,dive,min=1,max=64"` // a class of reads, and a text that shows that it ran
}

// Defaults are what an in-doubt section has that it does not name.
func (d *InDoubt) Defaults() {
	d.Clients, d.Order, d.Retention, d.MaxInFlight = "mark", "fast", 10*time.Minute, 4096
}

// The bounds of how long a booking is remembered. It must outlast the longest time that a client gives one.
const (
	minRetention = 10 * time.Second
	maxRetention = 24 * time.Hour
)

// The bounds of the spans of a copies section.
const (
	minHeartbeat   = 20 * time.Millisecond
	maxHeartbeat   = 2 * time.Second
	minRepairAfter = 2 * time.Second
	maxMarksTTL    = 24 * time.Hour
)

// The span of one probe among members, and its bounds.
const (
	defaultProbeInterval = 200 * time.Millisecond
	minProbeInterval     = 50 * time.Millisecond
	maxProbeInterval     = 10 * time.Second
)

// Upkeep is by what limits machines are taken out for work.
type Maintenance struct {
	lines.Source
	MaxGateways     int           `conf:"max-gateways" validate:"min=1,max=1024"` // away at once
	MaxPerZone      int           `conf:"max-per-zone" validate:"min=1,max=1024"` // of one zone
	MaxServers      int           `conf:"max-servers" validate:"min=1,max=1024"`  // away at once, one of a group at the most
	KeepReady       int           `conf:"keep-ready" validate:"min=0,max=100"`    // ready gateways that a zone keeps
	MaxLoad         int           `conf:"max-load" validate:"min=1,max=100"`      // percent that those who stay may have to carry
	DefaultDuration time.Duration `conf:"default-duration"`                       // what work takes if the operator has not said
	SettleTime      time.Duration `conf:"settle-time"`                            // how long one that is back has to be well
	ReturnWithin    time.Duration `conf:"return-within"`
	ExcuseAfter     time.Duration `conf:"excuse-after"` // of one that is overdue; 0: never
	MaxReplicaLag   time.Duration `conf:"behind"`       // from when on a replica counts as behind
	LedgerTimeout   time.Duration `conf:"unheard"`      // how long a start waits for the ledger
}

// Defaults are what a maintenance section has that it does not name.
func (u *Maintenance) Defaults() {
	u.MaxGateways, u.MaxPerZone, u.MaxServers, u.KeepReady, u.MaxLoad = 1, 1, 1, 1, 70
	u.DefaultDuration, u.SettleTime, u.ReturnWithin, u.MaxReplicaLag, u.LedgerTimeout = 20*time.Minute, 10*time.Second, 5*time.Minute, 2*time.Second, 5*time.Second
}

// The bounds of how long work may take.
const (
	minWorkDuration = time.Second
	maxWorkDuration = 7 * 24 * time.Hour
)

// VRRP is how gateways speak with each other about floating addresses.
type VRRP struct {
	lines.Source
	Node     uint8            `conf:"node" validate:"required"`
	Bind     netip.AddrPort   `conf:"bind" validate:"required"`
	Peers    []Peer           `conf:"peer" validate:"max=16,unique=Node,unique=Address"`
	Keys     []Key            `conf:"key,secret" validate:"min=1,max=4,unique=Number,dive"`
	Announce []netip.AddrPort `conf:"announce" validate:"max=16"`
}

// Peer is another gateway.
type Peer struct {
	Node    uint8 `validate:"required"`
	Address netip.AddrPort
}

// Key is a shared secret. The first one signs; all are accepted.
type Key struct {
	Number uint8
	Secret string `validate:"min=16,max=256"`
}

// Group is one floating address, or several that move together.
type Group struct {
	lines.Source
	Name         string         `title:"true" validate:"required,max=40"`
	VRID         uint8          `conf:"vrid" validate:"required"`
	Addresses    []netip.Addr   `conf:"address" validate:"min=1,max=16,unique"`
	Listen       netip.AddrPort `conf:"listen" validate:"required"`
	Priority     uint8          `conf:"priority" validate:"min=1"`
	Interval     time.Duration  `conf:"interval"`
	Preempt      bool           `conf:"preempt"`
	PreemptDelay time.Duration  `conf:"preempt-delay" validate:"max=3600000000000"`
	Track        []Track        `conf:"track" validate:"unique=Condition,dive"`
	Damping      Damping        `conf:"damp"`
	DrainTimeout time.Duration  `conf:"drain-timeout" validate:"min=0,max=1000000000"` // how long an orderly end waits for requests under way
}

// Track lowers the priority by a step while a condition holds.
type Track struct {
	Condition string `validate:"oneof=no-server no-primary discovery-silent descriptors draining"`
	Step      uint8
}

// Damp holds back a gateway that loses the address within Window of winning it: for First, twice as long each time, at
// most for Most.
type Damping struct{ Window, InitialHold, MaxHold time.Duration }

// The standard's default priority of a backup, and an interval that suits one room.
const (
	defaultPriority              = 100
	defaultAdvertisementInterval = 100 * time.Millisecond
)

// The bounds of an advertisement's interval on the wire, and its unit.
const (
	minAdvertisementInterval = 10 * time.Millisecond
	maxAdvertisementInterval = 40950 * time.Millisecond
)

// Defaults are what a group has that its section does not name.
func (g *Group) Defaults() {
	g.Priority, g.Interval, g.Preempt, g.DrainTimeout = defaultPriority, defaultAdvertisementInterval, true, 50*time.Millisecond
	g.Damping = Damping{Window: 2 * time.Second, InitialHold: 500 * time.Millisecond, MaxHold: 5 * time.Second}
}

// LoadOperators reads the operators' file. Without a path there is none, and all of it is off. Its errors are
// lines.Faults, all that is wrong at once.
func LoadOperators(path string) (*Operators, error) {
	if path == "" {
		return &Operators{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		var cause *os.PathError
		if errors.As(err, &cause) {
			err = cause.Err
		}
		return nil, lines.Faults{{File: path, Text: fmt.Sprintf("cannot be read: %v", err)}}
	}
	return ParseOperators(path, string(raw))
}

// ParseOperators reads the file's content.
func ParseOperators(file, text string) (*Operators, error) {
	o := &Operators{file: file}
	directives, faults := lines.Parse(file, text)
	o.formerWords = replaceFormerWords(file, directives)
	faults = append(faults, lines.Decode(file, directives, o)...)
	if len(faults) == 0 { // what could not be read would only be found missing
		faults = lines.Check(file, o)
		faults = append(faults, o.agree()...)
	}
	if len(faults) > 0 {
		nameAsWritten(faults, o.formerWords)
		slices.SortStableFunc(faults, func(a, b lines.Fault) int { return a.Line - b.Line })
		return nil, faults
	}
	return o, nil
}

// Print writes what is in force, secrets hidden.
func (o *Operators) Print(w io.Writer) error { return lines.Print(w, o) }

// agree checks what several directives say together.
func (o *Operators) agree() (faults lines.Faults) {
	at := func(w lines.Source, directive string, i int, format string, a ...any) {
		faults = append(faults, lines.Fault{
			File: o.file, Line: w.LineOf(directive, i), Directive: directive, Text: fmt.Sprintf(format, a...),
		})
	}
	if v := o.VRRP; v != nil {
		for i, p := range v.Peers {
			if p.Node == v.Node {
				at(v.Source, "peer", i, "%d is this gateway's own number", p.Node)
			}
			if p.Address == v.Bind {
				at(v.Source, "peer", i, "%v is this gateway's own address", p.Address)
			}
			if p.Address.Addr().Is4() != v.Bind.Addr().Is4() {
				at(v.Source, "peer", i, "%v is of another family than bind", p.Address)
			}
		}
		if v.Bind.Addr().IsUnspecified() {
			at(v.Source, "bind", 0, "%v is no address that peers could know this gateway by", v.Bind)
		}
		if len(o.Groups) == 0 {
			at(v.Source, "vrrp", 0, "there is no group to hold an address for")
		}
	}
	if m := o.Members; m != nil {
		own := m.Advertise
		if !own.IsValid() {
			own = m.Bind
		}
		if own.Addr().IsUnspecified() || own.Port() == 0 {
			at(m.Source, "bind", 0, "%v is no address that others could know this gateway by; name one with advertise", own)
		}
		if m.Interval < minProbeInterval || m.Interval > maxProbeInterval {
			at(m.Source, "interval", 0, "%v is not from %v to %v", m.Interval, minProbeInterval, maxProbeInterval)
		}
		for i, j := range m.Join {
			if j.Addr().Is4() != m.Bind.Addr().Is4() {
				at(m.Source, "join", i, "%v is of another family than bind", j)
			}
		}
		for i, v := range m.Via {
			if v.Via.Addr().Is4() != m.Bind.Addr().Is4() {
				at(m.Source, "via", i, "%v is of another family than bind", v.Via)
			}
		}
	}
	if c := o.StateStore; c != nil {
		if o.Members == nil {
			at(c.Source, "state-store", 0, "there is no members section: the state store runs on members")
		}
		if memory := len(c.Storage) == 1 && c.Storage[0] == "memory"; !memory && !(len(c.Storage) == 2 && c.Storage[0] == "disk" && c.Storage[1] != "") {
			at(c.Source, "storage", 0, "%q is neither memory nor disk and a path", strings.Join(c.Storage, " "))
		}
		if c.Witness != "" && c.StoragePath() == "" {
			at(c.Source, "witness", 0, "there is no disk for it to tell of")
		}
		if c.Heartbeat < minHeartbeat || c.Heartbeat > maxHeartbeat {
			at(c.Source, "heartbeat", 0, "%v is not from %v to %v", c.Heartbeat, minHeartbeat, maxHeartbeat)
		}
		if c.RepairAfter < minRepairAfter || c.RepairAfter < 20*c.Heartbeat {
			at(c.Source, "repair-after", 0, "%v is below %v, or 20 heartbeats", c.RepairAfter, minRepairAfter)
		}
		if c.MarksTTL < time.Second || c.MarksTTL > maxMarksTTL {
			at(c.Source, "marks-ttl", 0, "%v is not from 1s to %v", c.MarksTTL, maxMarksTTL)
		}
	}
	classes := map[string]bool{}
	for _, d := range o.InDoubt {
		if o.StateStore == nil {
			at(d.Source, "in-doubt", 0, "there is no state-store section: what is promised is kept in it")
		}
		if classes[d.Class] {
			at(d.Source, "in-doubt", 0, "%s is there twice", d.Class)
		}
		classes[d.Class] = true
		if d.Retention < minRetention || d.Retention > maxRetention {
			at(d.Source, "retention", 0, "%v is not from %v to %v", d.Retention, minRetention, maxRetention)
		}
	}
	if u := o.Maintenance; u != nil {
		if o.StateStore == nil {
			at(u.Source, "maintenance", 0, "there is no state-store section: the order is kept in it")
		}
		if u.DefaultDuration < minWorkDuration || u.DefaultDuration > maxWorkDuration {
			at(u.Source, "default-duration", 0, "%v is not from %v to %v", u.DefaultDuration, minWorkDuration, maxWorkDuration)
		}
		for _, d := range []struct {
			name string
			span time.Duration
		}{{"settle-time", u.SettleTime}, {"return-within", u.ReturnWithin}, {"behind", u.MaxReplicaLag}, {"unheard", u.LedgerTimeout}} {
			if d.span < 0 || d.span > time.Hour {
				at(u.Source, d.name, 0, "%v is not from 0s to 1h", d.span)
			}
		}
		if u.ExcuseAfter < 0 || u.ExcuseAfter > maxWorkDuration {
			at(u.Source, "excuse-after", 0, "%v is not from 0s to %v", u.ExcuseAfter, maxWorkDuration)
		}
	}
	vrids, names, listens := map[uint8]string{}, map[string]bool{}, map[netip.AddrPort]string{}
	for _, g := range o.Groups {
		if o.VRRP == nil {
			at(g.Source, "group", 0, "there is no vrrp section")
		}
		if other, ok := vrids[g.VRID]; ok {
			at(g.Source, "vrid", 0, "%d is that of group %s too", g.VRID, other)
		}
		if other, ok := listens[g.Listen]; ok {
			at(g.Source, "listen", 0, "%v is that of group %s too", g.Listen, other)
		}
		if names[g.Name] {
			at(g.Source, "group", 0, "%s is there twice", g.Name)
		}
		vrids[g.VRID], names[g.Name], listens[g.Listen] = g.Name, true, g.Name
		for i, a := range g.Addresses {
			if a.Is4() != g.Addresses[0].Is4() {
				at(g.Source, "address", i, "%v is of another family than the first", a)
			}
		}
		if g.Interval < minAdvertisementInterval || g.Interval > maxAdvertisementInterval || g.Interval%minAdvertisementInterval != 0 {
			at(g.Source, "interval", 0, "%v is no multiple of 10ms from 10ms to 40.95s", g.Interval)
		}
		if g.Damping.InitialHold > g.Damping.MaxHold {
			at(g.Source, "damp", 0, "the first hold, %v, is longer than the longest, %v", g.Damping.InitialHold, g.Damping.MaxHold)
		}
	}
	return faults
}

// Fixed lists the directives whose values in next cannot be taken over by a running gateway.
func (o *Operators) RestartRequired(next *Operators) []string {
	var fixed []string
	differ := func(name string, same bool) {
		if !same {
			fixed = append(fixed, name)
		}
	}
	differ("control", o.Control == next.Control)
	differ("members", (o.Members == nil) == (next.Members == nil))
	if m, n := o.Members, next.Members; m != nil && n != nil {
		differ("members node", m.Node == n.Node)
		differ("members deployment", m.Deployment == n.Deployment)
		differ("members bind", m.Bind == n.Bind)
		differ("members advertise", m.Advertise == n.Advertise)
	}
	differ("state-store", reflect.DeepEqual(unplaced(o.StateStore), unplaced(next.StateStore)))
	differ("in-doubt", reflect.DeepEqual(unlined(o.InDoubt), unlined(next.InDoubt)))
	differ("maintenance", (o.Maintenance == nil) == (next.Maintenance == nil))
	differ("vrrp", (o.VRRP == nil) == (next.VRRP == nil))
	if o.VRRP != nil && next.VRRP != nil {
		differ("vrrp node", o.VRRP.Node == next.VRRP.Node)
		differ("vrrp bind", o.VRRP.Bind == next.VRRP.Bind)
	}
	identity := func(o *Operators) (all []string) {
		for _, g := range o.Groups {
			all = append(all, fmt.Sprint(g.Name, g.VRID, g.Addresses, g.Listen))
		}
		slices.Sort(all)
		return all
	}
	differ("group", reflect.DeepEqual(identity(o), identity(next)))
	return fixed
}

// unlined are sections without the lines that they stand in.
func unlined(all []InDoubt) (out []InDoubt) {
	for _, d := range all {
		d.Source = lines.Source{}
		out = append(out, d)
	}
	return out
}

// unplaced is a section without the lines that it stands in.
func unplaced(c *StateStore) StateStore {
	if c == nil {
		return StateStore{}
	}
	x := *c
	x.Source = lines.Source{}
	return x
}

// Summary names the sections that are on, for the log.
func (o *Operators) Summary() string {
	var on []string
	if o.Members != nil {
		on = append(on, "members")
	}
	if o.StateStore != nil {
		on = append(on, "state-store")
	}
	for _, d := range o.InDoubt {
		on = append(on, "in-doubt "+d.Class)
	}
	if o.Maintenance != nil {
		on = append(on, "maintenance")
	}
	if o.VRRP != nil {
		on = append(on, "vrrp")
	}
	for _, g := range o.Groups {
		on = append(on, "group "+g.Name)
	}
	return strings.Join(on, ", ")
}
