package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"marblespan/internal/config"
	"marblespan/internal/fake"
	"marblespan/internal/vrrp"
)

const fleetSecret = "the secret of this fleet"

// gatewayFleet is several gateways that share a floating address, with database servers, discovery, a network switch that directs
// clients to the address, and a fake network path between the gateways.
type gatewayFleet struct {
	t             *testing.T
	primary       *fake.Server
	replica       *fake.Server
	discovery     *fake.Discovery
	addressSwitch *fake.Switch
	path          *fake.Path
	ends          []*net.UDPAddr
	floating      []string // the address of each gateway's floating listener
	gateways      []*Gateway
	logs          []*logBuffer
	conf          []func(change func(string) string) *config.Operators
	ledger        fake.Ledger
	quit          chan struct{}
	load          sync.WaitGroup
}

// fleetInterval is the advertisement interval. It is short, so that the tests run many changes in little time. On a busy machine
// a gateway may therefore give up the address now and then, which must not break anything either.
const fleetInterval = 50 * time.Millisecond

// newGatewayFleet starts a gateway for each priority. tune may change a gateway's configuration.
func newGatewayFleet(t *testing.T, preempt bool, tune func(i int, c *config.Config), priorities ...int) *gatewayFleet {
	t.Helper()
	checkLeaks(t)
	f := &gatewayFleet{t: t, quit: make(chan struct{})}
	f.primary = must2(fake.NewServer("primary"))
	f.replica = must2(fake.NewServer("replica"))
	targets := []fake.Endpoint{
		{UID: "p", Addr: f.primary.Addr(), Group: 7, State: "ready", Weight: 1, Role: "primary"},
		{UID: "r", Addr: f.replica.Addr(), Group: 7, State: "ready", Weight: 1, Role: "replica"},
	}
	f.discovery = must2(fake.NewDiscovery(targets...))
	f.addressSwitch = must2(fake.NewSwitch(fleetSecret))
	for i := range priorities {
		ip := net.IPv4(127, 0, 0, byte(2+i))
		u := must2(net.ListenUDP("udp4", &net.UDPAddr{IP: ip}))
		f.ends = append(f.ends, u.LocalAddr().(*net.UDPAddr))
		l := must2(net.ListenTCP("tcp4", &net.TCPAddr{IP: ip}))
		f.floating = append(f.floating, l.Addr().String())
		u.Close()
		l.Close()
	}
	f.path = must2(fake.NewPath(f.ends...))
	for i, priority := range priorities {
		var text strings.Builder
		fmt.Fprintf(&text, "vrrp\nnode %d\nbind %v\nannounce %s\nkey 1 \"%s\"\n", i+1, f.ends[i], f.addressSwitch.AnnouncementAddr(), fleetSecret)
		for j := range priorities {
			if j != i {
				fmt.Fprintf(&text, "peer %d %s\n", j+1, f.path.PeerAddr(i, j))
			}
		}
		fmt.Fprintf(&text, "group counters\nvrid 51\naddress 192.0.2.10\nlisten %s\npriority %d\ninterval %v\npreempt %v\ndamp 0s 0s 0s\n",
			f.floating[i], priority, fleetInterval, map[bool]string{true: "on", false: "off"}[preempt])
		conf := func(change func(string) string) *config.Operators {
			return must2(config.ParseOperators("fleet.conf", change(text.String())))
		}
		f.conf = append(f.conf, conf)
		raw, _ := json.Marshal(map[string]any{
			"name": fmt.Sprint("n", i), "listen": "127.0.0.1:1", "discovery": f.discovery.Addr(), "seed": fmt.Sprintf("8c1f30d27a5be96%d", i),
			"limits":   map[string]any{"cores": 2, "memory_mb": 192, "sockets": 1024},
			"known":    map[string]any{"rev": 1, "all": true, "targets": targets},
			"settings": json.RawMessage(strings.Replace(testSettings, `"balancers": 1`, fmt.Sprintf(`"balancers": %d, "ordinal": %d`, len(priorities), i), 1)),
		})
		cfg := must2(config.Parse(raw, func(string) string { return "" }))
		cfg.Listen = "127.0.0.1:0"
		if tune != nil {
			tune(i, cfg)
		}
		f.logs = append(f.logs, &logBuffer{})
		f.gateways = append(f.gateways, must2(Start(cfg, conf(unchanged), f.logs[i])))
	}
	t.Cleanup(f.close)
	return f
}

func unchanged(s string) string { return s }

func (f *gatewayFleet) close() {
	close(f.quit)
	f.load.Wait()
	var stops sync.WaitGroup
	for _, g := range f.gateways {
		if g != nil {
			stops.Add(1)
			go func() { defer stops.Done(); g.Stop() }()
		}
	}
	stops.Wait()
	f.path.Close()
	f.addressSwitch.Close()
	f.discovery.Close()
	f.primary.Close()
	f.replica.Close()
	runs, faults := f.ledger.Check(f.primary, f.replica)
	for _, fault := range faults {
		f.t.Error(fault)
	}
	f.t.Logf("%d writes ran; answers to clients: %+v", runs, f.ledger.Totals())
	if f.t.Failed() {
		for i, log := range f.logs {
			for _, line := range strings.Split(log.String(), "\n") {
				if !strings.Contains(line, "connection ended") {
					f.t.Log(i, line)
				}
			}
		}
	}
}

// startLoad starts clients that write through the floating address until the test ends.
func (f *gatewayFleet) startLoad(clients int) {
	for c := range clients {
		f.load.Add(1)
		go func() {
			defer f.load.Done()
			b := &fake.Client{
				Addr: f.addressSwitch.Addr, Class: "put", Group: 7, Timeout: 3 * time.Second, MaxAttempts: 400, Backoff: 5 * time.Millisecond,
				Ledger: &f.ledger,
			}
			defer b.Close()
			for n := 0; ; n++ {
				select {
				case <-f.quit:
					return
				default:
				}
				b.Write(fmt.Sprintf("m%d-%d", c, n))
			}
		}()
	}
}

func (f *gatewayFleet) state(i int) string { return f.gateways[i].floating.status()[0].State }

func (f *gatewayFleet) active() (all []int) {
	for i, g := range f.gateways {
		if g != nil && f.state(i) == "active" {
			all = append(all, i)
		}
	}
	return all
}

// awaitActive waits until exactly one gateway is active and the switch leads to it. want is that gateway, or -1 for any.
func (f *gatewayFleet) awaitActive(want int) int {
	f.t.Helper()
	active := -1
	eventually(f.t, func() bool {
		all := f.active()
		if len(all) != 1 || want >= 0 && all[0] != want {
			return false
		}
		active = all[0]
		at, _ := f.addressSwitch.ActiveGateway()
		return at == f.floating[active]
	}, func() string {
		at, _ := f.addressSwitch.ActiveGateway()
		return fmt.Sprintf("the active gateways are %v, the switch leads to %s, the listeners are %v", f.active(), at, f.floating)
	})
	return active
}

// expectServed waits until a number of further writes have been served.
func (f *gatewayFleet) expectServed(more int) {
	f.t.Helper()
	n := f.ledger.Totals().Counts[fake.Served]
	eventually(f.t, func() bool { return f.ledger.Totals().Counts[fake.Served] >= n+more },
		func() string { return fmt.Sprintf("%+v", f.ledger.Totals()) })
}

// expectLogged waits for a line of a gateway's log that contains all the words.
func (f *gatewayFleet) expectLogged(i int, words ...string) {
	f.t.Helper()
	(&testGateway{t: f.t, log: f.logs[i]}).expectLogged(words...)
}

// awaitSplit waits until more than one gateway is active.
func (f *gatewayFleet) awaitSplit() {
	f.t.Helper()
	eventually(f.t, func() bool { return len(f.active()) > 1 }, func() string { return "no second gateway became active" })
}

// Network faults occur one after another under load. After each fault the network is repaired, and exactly one gateway becomes
// active. No write runs twice, and the answers to clients agree with what the servers did.
func TestFaultsUnderLoad(t *testing.T) {
	f := newGatewayFleet(t, true, nil, 200, 150, 100)
	f.startLoad(6)
	f.awaitActive(0)
	for _, c := range []struct {
		name  string
		do    func()
		split bool
	}{
		{"no peer receives the active gateway's advertisements", func() {
			f.path.Set(0, 1, fake.Impairment{Drop: true})
			f.path.Set(0, 2, fake.Impairment{Drop: true})
		}, true},
		{"the active gateway receives no advertisements", func() {
			f.path.Set(1, 0, fake.Impairment{Drop: true})
			f.path.Set(2, 0, fake.Impairment{Drop: true})
		}, false},
		{"advertisements arrive later than the active down interval", func() {
			f.path.SetAll(fake.Impairment{Delay: 6 * fleetInterval})
		}, false},
		{"advertisements are duplicated and reordered", func() {
			f.path.SetAll(fake.Impairment{Duplicates: 2, Reorder: true})
		}, false},
		{"network partition, old connections continue", func() { f.path.Isolate(0, true) }, true},
		{"network partition, old connections are reset", func() {
			f.addressSwitch.ResetOnTakeover = true
			f.path.Isolate(0, true)
		}, true},
		{"network partition, and a reload of priorities, peers and keys on both sides", func() {
			f.path.Isolate(0, true)
			f.awaitSplit()
			for i := range f.gateways {
				f.reload(i, func(s string) string {
					if i == 0 { // one peer fewer, until the next reload
						s = strings.Replace(s, "peer 3 ", "# ", 1)
					}
					s = strings.Replace(s, "key 1 ", "key 2 \"a newer secret of theirs\"\nkey 1 ", 1)
					return strings.Replace(s, "priority 200", "priority 90", 1)
				})
			}
		}, true},
		{"the old key is removed, the priority is restored", func() {
			for i := range f.gateways {
				f.reload(i, func(s string) string { return strings.Replace(s, "key 1 ", "key 1 \"the secret of this fleet\"\n#", 1) })
			}
		}, false},
		{"invalid datagrams", func() {
			for n := range 3000 {
				f.path.Inject(1, 0, make([]byte, n%300))
				f.path.Inject(0, 1, append([]byte{0x31, 51, 255, 1, 0, 5}, make([]byte, n%100)...))
			}
		}, false},
	} {
		c.do()
		if c.split {
			f.awaitSplit()
		}
		f.expectServed(20)
		f.path.SetAll(fake.Impairment{})
		f.awaitActive(-1)
		f.expectServed(20)
		t.Logf("%s: %+v", c.name, f.ledger.Totals())
	}
	if n := &f.gateways[0].floating.router.Counters.Dropped; n[1].Load() == 0 {
		t.Error("no invalid datagram was counted")
	}
}

func (f *gatewayFleet) reload(i int, change func(string) string) {
	g := f.gateways[i]
	g.Reload(g.cfg, f.conf[i](change), nil)
}

func TestThreeOfOnePriorityStartAtOnce(t *testing.T) {
	f := newGatewayFleet(t, false, nil, 100, 100, 100)
	f.startLoad(2)
	f.awaitActive(-1)
	f.expectServed(50)
}

// A gateway without servers does not become active, even with the highest priority. It does so once it has servers.
func TestBackupThatIsNotReady(t *testing.T) {
	emptyDiscovery := must2(fake.NewDiscovery())
	t.Cleanup(emptyDiscovery.Close)
	f := newGatewayFleet(t, true, func(i int, c *config.Config) {
		if i == 1 {
			c.KnownServers.Entries, c.Discovery = nil, emptyDiscovery.Addr()
		}
	}, 100, 250)
	f.awaitActive(0)
	f.startLoad(2)
	f.expectServed(20)
	f.gateways[0].Stop()
	f.gateways[0] = nil
	if _, _, held := f.activations(1); held || f.state(1) != "backup" {
		t.Fatalf("the gateway without servers is %s", f.state(1))
	}
	next := *f.gateways[1].cfg
	next.Discovery = f.discovery.Addr()
	f.gateways[1].Reload(&next, f.gateways[1].operators, nil)
	f.awaitActive(1)
	f.expectServed(20)
}

// activations returns the number of a gateway's activations that have not ended, the number of their clients, and whether the
// gateway is active.
func (f *gatewayFleet) activations(i int) (n, clients int, active bool) {
	fl := f.gateways[i].floating
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for t := range fl.activations {
		clients += t.clients.Open()
	}
	return len(fl.activations), clients, len(fl.current) > 0
}

func (f *gatewayFleet) open(addr string) *clientConn {
	f.t.Helper()
	nc := must2(net.Dial("tcp", addr))
	nc.SetDeadline(time.Now().Add(testTimeout))
	f.t.Cleanup(func() { nc.Close() })
	c := &clientConn{nc, f.t, bufio.NewReader(nc)}
	c.Write(startup())
	c.readUntil('Z')
	return c
}

// A gateway loses the address while it has a write in flight, a client that has sent half a message, and an idle client. It
// regains the address while the first activation's write is still in flight, and loses it again. Every write gets exactly one
// answer, on the connection on which it was accepted.
func TestAddressRegainedWithRequestsInFlight(t *testing.T) {
	f := newGatewayFleet(t, true, nil, 200, 100)
	f.awaitActive(0)
	hold, arrived, release := blockingHandler(t)
	f.primary.SetQueryHandler(hold)
	first, half, idle := f.open(f.floating[0]), f.open(f.floating[0]), f.open(f.floating[0])
	put := func(id string) string { return strings.Replace(writeQuery(id), "'k'", "'"+id+"'", 1) }
	first.Write(query(put("x1")))
	<-arrived
	half.Write(query(put("x2"))[:40])

	setOtherPriority := func(priority int) { // of gateway 1
		f.reload(1, func(s string) string { return strings.Replace(s, "priority 100", fmt.Sprint("priority ", priority), 1) })
	}
	setOtherPriority(250)
	f.awaitActive(1)
	if kinds, bodies := idle.readUntil('E'); kinds != "E" || !strings.Contains(bodies[0], "C57P03\x00") {
		t.Errorf("the idle client got %s %q", kinds, bodies)
	}
	idle.expectEnd()
	half.readUntil('E') // its request was not accepted, and it gets an error
	half.expectEnd()
	if _, err := net.Dial("tcp", f.floating[0]); err == nil {
		t.Error("the first gateway still listens at the address")
	}
	setOtherPriority(100)
	f.awaitActive(0) // preempts the other gateway, with the first activation's write still in flight
	idle.Close()
	half.Close()
	eventually(t, func() bool { n, clients, active := f.activations(0); return n == 2 && clients == 1 && active },
		func() string { return fmt.Sprint(f.activations(0)) })
	second := f.open(f.floating[0])
	second.Write(query(put("x3")))
	<-arrived
	f.gateways[0].floating.releaseAll(true, time.Time{})
	f.awaitActive(1)
	release()
	for c, want := range map[*clientConn]string{first: "value of x1", second: "value of x3"} {
		if kinds, bodies := c.readUntil('Z'); kinds != "TDCZ" || !strings.HasSuffix(bodies[1], want) {
			t.Errorf("%s %q, want %s", kinds, bodies, want)
		}
		c.readUntil('E') // disconnected, now that it is idle
		c.expectEnd()
	}
	eventually(t, func() bool { n, _, _ := f.activations(0); return n == 0 }, func() string { return "an activation has not ended" })
	for _, sql := range f.primary.Queries() {
		if strings.Contains(sql, "id=x2") {
			t.Error("an incomplete request was sent to the primary")
		}
	}
	f.expectLogged(0, "connection ended", `"reason":"moved"`)
	f.expectLogged(0, `"cause":"preempted"`)
	f.expectLogged(0, `"cause":"shutdown"`)
}

// A floating address that is kept on SIGTERM until taken over rejects new requests during its drain timeout, in which a better
// gateway would take it over. If none does, it accepts requests again.
func TestDrainTimeoutOfALingeringAddress(t *testing.T) {
	f := newGatewayFleet(t, true, nil, 200)
	f.awaitActive(0)
	f.reload(0, func(s string) string { return s + "track draining 100\nlet-go 1s\n" })
	f.expectLogged(0, "former word in the operators' file", `"former":"let-go","new":"drain-timeout"`)
	c := f.open(f.floating[0])
	fl := f.gateways[0].floating
	fl.releaseAll(false, time.Time{})
	c.Write(query(writeQuery("x1")))
	if kinds, bodies := c.readUntil('E'); !strings.Contains(bodies[0], "C53300\x00") && !strings.Contains(bodies[0], "C57P03\x00") {
		t.Errorf("%s %q", kinds, bodies)
	}
	eventually(t, func() bool { _, _, active := f.activations(0); return active && f.state(0) == "active" }, func() string { return "the address was released" })
	served := func() bool {
		c := f.open(f.floating[0])
		defer c.Close()
		c.Write(query(writeQuery("x2")))
		kinds, _ := c.readUntil('Z')
		return kinds == "TDCZ"
	}
	eventually(t, func() bool {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		return !fl.current["counters"].rejectsNew.Load()
	}, func() string { return "requests are still rejected after the drain timeout" })
	if !served() {
		t.Error("a request after the drain timeout was not served")
	}
}

// An activation whose lease has expired accepts no requests: a new request is rejected unsent, and its client disconnected.
func TestLeaseRunsOut(t *testing.T) {
	f := newGatewayFleet(t, true, nil, 200)
	f.awaitActive(0)
	c := f.open(f.floating[0])
	fl := f.gateways[0].floating
	var held *activation
	fl.mu.Lock()
	for x := range fl.activations {
		held = x
	}
	fl.mu.Unlock()
	gate := held.clients.MayAdmit
	if !gate() {
		t.Fatal("the gate of the active gateway is closed")
	}
	stalled := make(chan struct{}) // closed when the router's goroutine, which simulates a stalled process, continues
	go func() {
		defer close(stalled)
		f.gateways[0].floating.router.Stall(4 * fleetInterval)
	}()
	eventually(t, func() bool { return !gate() }, func() string { return "the gate stays open while the VRRP router is stalled" })
	c.Write(query(writeQuery("x1")))
	if kinds, bodies := c.readUntil('E'); !strings.Contains(bodies[0], "C53300\x00") && !strings.Contains(bodies[0], "C57P03\x00") {
		t.Errorf("%s %q", kinds, bodies)
	}
	<-stalled
	if n := len(f.primary.Queries()); n != 0 {
		t.Errorf("%d statements were sent", n)
	}
	f.expectLogged(0, `"cause":"stood_still"`)
	f.awaitActive(0)
	if m := vrrp.CauseStalled; fl.router.Counters.Deactivations[m].Load() == 0 {
		t.Error("the deactivation was not counted")
	}
}

// A gateway that cannot bind the VRRP socket returns the error from Start and leaves nothing running.
func TestFloatingAddressInUse(t *testing.T) {
	f := newGatewayFleet(t, true, nil, 200)
	f.awaitActive(0)
	cfg := *f.gateways[0].cfg
	if _, err := Start(&cfg, f.conf[0](unchanged), &logBuffer{}); err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("%v", err)
	}
}
