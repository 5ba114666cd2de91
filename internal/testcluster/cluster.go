package testcluster

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marblespan/internal/fake"
)

// MaxNodes is the maximum number of gateways in a cluster.
const MaxNodes = 32

// Discovery is the name of the discovery service in faults that take the name of a server.
const Discovery = "discovery"

// secret is the key with which gateways sign the messages that they send to each other.
const secret = "the secret of this experiment"

// The ports of the gateways. All gateways use the same ports, because each has its own IP address.
const (
	portClients  = 6433
	portFloating = 6434
	portVRRP     = 1112
	portMembers  = 7946
)

// Timeouts, equal to those in the cluster's settings.
const (
	drainTimeout       = 250 * time.Millisecond // time for gateways to stop sending requests to a server after its drain was published
	resubscribeTimeout = 4 * time.Second        // time for a gateway to get an endpoint list from discovery
	requestTimeout     = time.Second            // time for the answer to a request
)

// settings is the template of the settings that the platform gives to each gateway. Its servers do not check how old their data is
// (checks: none), so the gateways alone must enforce the bounds of reads.
const settings = `{"balancers": %d, "ordinal": %d,
 "classes": [
  {"name": "booking", "aim_ms": 750, "give_up_ms": 1000, "effect": "single_shot", "points": 3, "late_worth": 0.5},
  {"name": "view", "aim_ms": 500, "give_up_ms": 1000, "effect": "free", "points": 1, "late_worth": 0.5},
  {"name": "seat", "aim_ms": 500, "give_up_ms": 1000, "effect": "free", "points": 1, "late_worth": 0.5},
  {"name": "mine", "aim_ms": 500, "give_up_ms": 1000, "effect": "free", "points": 1, "late_worth": 0.5},
  {"name": "quote", "aim_ms": 500, "give_up_ms": 1000, "effect": "single_shot", "points": 1, "late_worth": 0.5}],
 "family_info": {"answers_stamped": true, "checks": "none", "wait_ms": 50, "freshness": ["mutate", "lag_bound", "strong", "causal", "strong"],
  "oldest_data_ms": [0, 800, 0, 0, 0], "write_marks": "brought"},
 "granularity_ms": 5, "membership_mode": "subscribe", "locality": "here",
 "policy_limits": {"cancelling": true, "connect_timeout_ms": 250, "most_tries": 4, "probing": true, "keepalive_ms": 30000},
 "report": {"how": "probe", "fields": ["x0", "x1", "cpu_share"]},
 "rules": {"ask_within_ms": 4000, "cold_from": 0.26, "fall_ms": 3000, "grace_to_answer_ms": 20, "overload_factor": 4,
  "ramp_time_ms": %d, "stop_sending_within_ms": 250}}`

// Options describe a cluster.
type Options struct {
	Binary   string // path of the gateway's binary
	Nodes    int
	Groups   int // number of groups of servers; 0 means one
	Replicas int // number of replicas in each group
	Seed     uint64
	Dir      string    // directory for logs and data directories; empty for a temporary directory, which Close removes
	History  io.Writer // an additional destination of the history; may be nil

	MemoryMB              int                      // memory limit of a gateway in MB; 0 means 192
	ServiceTime           time.Duration            // how long a server takes for a request
	SlowStart             time.Duration            // duration of a server's slow start
	AdvertisementInterval time.Duration            // time between VRRP advertisements
	MembershipInterval    time.Duration            // time between membership probes; 0 omits the members section
	Priorities            []int                    // VRRP priorities of the gateways; nil for 200, 199 and so on
	StateStore            *StateStore              // nil omits the state store
	InDoubt               *InDoubt                 // how intents of bookings are stored; nil if they are not stored
	Maintenance           *Maintenance             // limits of maintenance; nil omits the maintenance section
	RewriteConfig         func(conf string) string // returns a changed operators' file, which is written instead; may be nil
	RewriteSettings       func(text string) string // returns changed platform settings of the gateways; may be nil
	ResetOnTakeover       bool                     // the switch resets flows when the floating address moves
}

// Defaults returns options for a cluster that fits on one machine.
func Defaults() Options {
	return Options{
		Binary: "bin/marblespan", Nodes: 3, Replicas: 2, Seed: 1, ServiceTime: 3 * time.Millisecond, SlowStart: 16 * time.Second, AdvertisementInterval: 100 * time.Millisecond,
		MembershipInterval: 200 * time.Millisecond,
	}
}

// Cluster runs several gateway processes, with fakes of all systems that the gateways talk to. New starts it; Close ends all processes
// and fakes.
type Cluster struct {
	Options
	History        *History
	Switch         *fake.Switch
	VRRPPath       *fake.Path // carries VRRP between the gateways
	MembershipPath *fake.Path // carries the datagrams and streams of membership; nil without a members section
	Nodes          []*Node    // gateway 1 is Nodes[0]

	groups       []*serverGroup
	temporaryDir bool

	mu            sync.Mutex
	activeFaults  []Fault // faults that are injected and not yet repaired
	formerPrimary *server // the primary that was last replaced by a promotion
}

// clusterCount numbers the clusters of this process, so that each cluster gets a network of its own.
var clusterCount atomic.Int64

// nextNetwork returns a /24 of the loopback range that no other cluster on this machine is likely to use. There are 128 networks for
// each of 128 processes.
func nextNetwork() net.IP {
	return net.IPv4(127, byte(64+os.Getpid()%128), byte(clusterCount.Add(1)%128), 0).To4()
}

// New starts a cluster and waits until each gateway serves. With a state store, New also bootstraps the store and waits until it is
// complete.
func New(o Options) (*Cluster, error) {
	if o.Nodes < 1 || o.Nodes > MaxNodes || o.Replicas < 1 || o.Groups > MaxGroups {
		return nil, fmt.Errorf("testcluster: a cluster has 1 to %d gateways, at most %d groups of servers and at least one replica", MaxNodes, MaxGroups)
	}
	c := &Cluster{Options: o, History: NewHistory(o.History)}
	for _, step := range []func() error{c.makeDirectory, c.startSwitch, c.startServers, c.makeNodes, c.startNodes, c.awaitInitialState} {
		if err := step(); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// makeDirectory makes a temporary directory unless the options name one.
func (c *Cluster) makeDirectory() (err error) {
	if c.Dir == "" {
		c.temporaryDir = true
		c.Dir, err = os.MkdirTemp("", "testcluster")
	}
	return err
}

// startSwitch starts the switch that forwards the floating address.
func (c *Cluster) startSwitch() (err error) {
	if c.Switch, err = fake.NewSwitch(secret); err != nil {
		return err
	}
	c.Switch.ResetOnTakeover = c.ResetOnTakeover
	return nil
}

// startServers starts the groups of servers.
func (c *Cluster) startServers() error {
	for i := range max(c.Groups, 1) {
		group, err := newServerGroup(c.History, FirstGroup+i, c.Replicas, c.ServiceTime, c.gatewayAt)
		if err != nil {
			return err
		}
		c.groups = append(c.groups, group)
	}
	return nil
}

// makeNodes creates the gateways, without starting them, and the paths between them.
func (c *Cluster) makeNodes() (err error) {
	base := nextNetwork()
	var routers, members []*net.UDPAddr
	for i := range c.Options.Nodes {
		node, err := c.newNode(i+1, net.IPv4(base[0], base[1], base[2], byte(i+1)).To4())
		if err != nil {
			return err
		}
		routers = append(routers, &net.UDPAddr{IP: node.IP, Port: portVRRP})
		members = append(members, &net.UDPAddr{IP: node.IP, Port: portMembers})
	}
	if c.VRRPPath, err = fake.NewPath(routers...); err != nil || c.MembershipInterval <= 0 {
		return err
	}
	if c.MembershipPath, err = fake.NewPath(members...); err != nil {
		return err
	}
	return c.MembershipPath.CarryStreams()
}

// startNodes writes the gateways' configuration files and starts their processes.
func (c *Cluster) startNodes() error {
	for _, node := range c.Nodes {
		if err := node.configure(); err != nil {
			return err
		}
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitInitialState waits until each gateway serves, and bootstraps the state store if there is one. With maintenance, the store is
// bootstrapped first, because gateways admit no requests before they are registered in the ledger.
func (c *Cluster) awaitInitialState() error {
	if c.Maintenance == nil {
		if err := c.AwaitReady(settleTimeout); err != nil || c.StateStore == nil {
			return err
		}
	}
	if err := c.bootstrapStore(); err != nil {
		return err
	}
	return errors.Join(c.AwaitReady(settleTimeout), c.AwaitComplete(settleTimeout))
}

// bootstrapStore bootstraps the state store at gateway 1. It retries, because a gateway's control socket answers slightly later than
// its listener.
func (c *Cluster) bootstrapStore() error {
	for deadline := time.Now().Add(settleTimeout); ; time.Sleep(20 * time.Millisecond) {
		if err := c.Nodes[0].Bootstrap(true); err == nil || time.Now().After(deadline) {
			return err
		}
	}
}

// settleTimeout is how long a cluster may take to settle. Tests wait for a condition and not for a fixed time; they fail after this
// timeout.
const settleTimeout = 30 * time.Second

// gatewayAt returns the number of the gateway with an IP address, or 0 if there is none.
func (c *Cluster) gatewayAt(ip string) int {
	for _, n := range c.Nodes {
		if n.IP.String() == ip {
			return n.Number
		}
	}
	return 0
}

// Primary returns the initial primary of the first group of servers.
func (c *Cluster) Primary() *fake.Server { return c.groups[0].servers[0].Server }

// GatewayFor returns the number of the gateway that listens on an address, or 0 if there is none.
func (c *Cluster) GatewayFor(addr string) int {
	host, _, _ := net.SplitHostPort(addr)
	return c.gatewayAt(host)
}

// maxVRRPPeers is the maximum number of VRRP peers of a gateway.
const maxVRRPPeers = 16

// AwaitReady waits until each gateway's latest process serves. It fails at once if the latest process of a gateway has ended.
func (c *Cluster) AwaitReady(bound time.Duration) (err error) {
	timeoutErr := c.History.Await("every gateway serves", bound, func(all []Event) bool {
		last := map[int]Event{}
		for _, e := range all {
			if e.Kind == ProcessChanged {
				last[e.Node] = e
			}
		}
		complete := true
		for _, n := range c.Nodes {
			switch e := last[n.Number]; e.What {
			case ProcessEnded:
				err = fmt.Errorf("gateway %d ended: %s", n.Number, e.Text)
				return true
			case ProcessReady:
			default:
				complete = false
			}
		}
		return complete
	})
	return errors.Join(timeoutErr, err)
}

// preferredRouter returns the number of the gateway with the highest VRRP priority.
func (c *Cluster) preferredRouter() int {
	if c.Priorities == nil {
		return 1
	}
	return 1 + slices.Index(c.Priorities, slices.Max(c.Priorities))
}

// AwaitActiveRouter waits until exactly one gateway reports that it is the active router of the floating address, and the switch
// forwards to that gateway. number is the number of the expected gateway; 0 means any gateway.
func (c *Cluster) AwaitActiveRouter(number int, bound time.Duration) error {
	var active []int
	at := ""
	err := c.History.Await(fmt.Sprintf("gateway %d alone is the active router", number), bound, func(all []Event) bool {
		active = slices.Collect(maps.Keys(ActiveRouters(all)))
		at, _ = c.Switch.ActiveGateway()
		return len(active) == 1 && (number == 0 || number == active[0]) && at == c.Nodes[active[0]-1].Floating
	})
	if err != nil {
		err = fmt.Errorf("%w: gateways %v report that they are active, the switch forwards to %s", err, active, at)
	}
	return err
}

// AwaitMembers waits until every gateway reports every other gateway alive.
func (c *Cluster) AwaitMembers(bound time.Duration) error {
	return c.History.Await("every gateway reports every other one alive", bound, func(all []Event) bool {
		return len(MembershipGaps(all, len(c.Nodes))) == 0
	})
}

// MembershipGaps lists the gateways that, at the end of a history, do not report another gateway alive, with one entry per missing
// report. gateways is the number of gateways, all of which must be running.
func MembershipGaps(all []Event, gateways int) (out []string) {
	alive := map[int]map[string]bool{}
	for _, e := range all {
		switch {
		case e.Kind == ProcessChanged && e.What == ProcessStarted:
			alive[e.Node] = map[string]bool{}
		case e.Kind == StateReported && strings.HasPrefix(e.What, subjectMember) && alive[e.Node] != nil:
			alive[e.Node][strings.TrimPrefix(e.What, subjectMember)] = e.Text == "alive"
		}
	}
	for i := 1; i <= gateways; i++ {
		for j := 1; j <= gateways; j++ {
			if i != j && !alive[i][fmt.Sprint("g", j)] {
				out = append(out, fmt.Sprintf("%d does not report %d alive", i, j))
			}
		}
	}
	return out
}

// ActiveRouters returns the set of gateways whose last report in a history says that they are the active router, and whose
// process has not ended since that report.
func ActiveRouters(all []Event) map[int]bool {
	active := map[int]bool{}
	for _, e := range all {
		switch {
		case e.Kind == StateReported && strings.HasPrefix(e.What, subjectVRRP):
			if delete(active, e.Node); e.Text == "active" {
				active[e.Node] = true
			}
		case e.Kind == ProcessChanged && e.What == ProcessEnded:
			delete(active, e.Node)
		}
	}
	return active
}

// allPaths returns all paths between gateways.
func (c *Cluster) allPaths() (all []*fake.Path) {
	for _, p := range []*fake.Path{c.VRRPPath, c.MembershipPath} {
		if p != nil {
			all = append(all, p)
		}
	}
	return all
}

// Close kills all gateways, closes the fakes, and removes a temporary directory.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		if p := n.currentProcess(); p != nil {
			p.kill()
		}
		for _, r := range n.serverRelays {
			r.Close()
		}
		if n.discoveryRelay != nil {
			n.discoveryRelay.Close()
		}
		if n.discovery != nil {
			n.discovery.Close()
			close(n.discovery.Requests)
			n.discoveryReader.Wait()
		}
	}
	for _, p := range c.allPaths() {
		p.Close()
	}
	if c.Switch != nil {
		c.Switch.Close()
	}
	for _, group := range c.groups {
		group.close()
	}
	if c.temporaryDir {
		os.RemoveAll(c.Dir)
	}
}
