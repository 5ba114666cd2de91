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

// gatewayFleet is several gateways that share a floating address, with servers, discovery, a switch and a path between them.
type gatewayFleet struct {
	t             *testing.T
	primary       *fake.Server
	replica       *fake.Server
	discovery     *fake.Discovery
	addressSwitch *fake.Switch
	path          *fake.Path
	ends          []*net.UDPAddr
	floating      []string // each one's floating listener
	gateways      []*Gateway
	logs          []*logBuffer
	conf          []func(change func(string) string) *config.Operators
	ledger        fake.Ledger
	quit          chan struct{}
	load          sync.WaitGroup
}

// fleetInterval is short, so that much happens in little time; on a machine that is busy a gateway may then step back now
// and then, which must do no harm either.
const fleetInterval = 50 * time.Millisecond

// newGatewayFleet starts a gateway for each priority. tune may change what a gateway is told.
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
	f.t.Logf("%d bookings ran; told to clients: %+v", runs, f.ledger.Totals())
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

// startLoad keeps clients writing at the floating address until the test ends.
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

// awaitActive waits until one gateway is active, any or a certain one, and the switch leads to it.
func (f *gatewayFleet) awaitActive(want int) int {
	f.t.Helper()
	holder := -1
	eventually(f.t, func() bool {
		all := f.active()
		if len(all) != 1 || want >= 0 && all[0] != want {
			return false
		}
		holder = all[0]
		at, _ := f.addressSwitch.ActiveGateway()
		return at == f.floating[holder]
	}, func() string {
		at, _ := f.addressSwitch.ActiveGateway()
		return fmt.Sprintf("active are %v, the switch leads to %s, listeners are %v", f.active(), at, f.floating)
	})
	return holder
}

// expectServed waits until that many more writes have been served.
func (f *gatewayFleet) expectServed(more int) {
	f.t.Helper()
	n := f.ledger.Totals().Counts[fake.Served]
	eventually(f.t, func() bool { return f.ledger.Totals().Counts[fake.Served] >= n+more },
		func() string { return fmt.Sprintf("%+v", f.ledger.Totals()) })
}

// expectLogged waits for a line of a gateway's log that holds all the words.
func (f *gatewayFleet) expectLogged(i int, words ...string) {
	f.t.Helper()
	(&testGateway{t: f.t, log: f.logs[i]}).expectLogged(words...)
}

func (f *gatewayFleet) split() {
	f.t.Helper()
	eventually(f.t, func() bool { return len(f.active()) > 1 }, func() string { return "no split came of it" })
}

// Under load, one trouble of the network after another. After each the network is whole again and one gateway holds the
// address; no booking runs twice, and what clients were told is true.
func TestFaultsUnderLoad(t *testing.T) {
	f := newGatewayFleet(t, true, nil, 200, 150, 100)
	f.startLoad(6)
	f.awaitActive(0)
	for _, c := range []struct {
		name  string
		do    func()
		split bool
	}{
		{"the active one is not heard", func() {
			f.path.Set(0, 1, fake.Impairment{Drop: true})
			f.path.Set(0, 2, fake.Impairment{Drop: true})
		}, true},
		{"the active one does not hear", func() {
			f.path.Set(1, 0, fake.Impairment{Drop: true})
			f.path.Set(2, 0, fake.Impairment{Drop: true})
		}, false},
		{"advertisements come later than the down interval", func() {
			f.path.SetAll(fake.Impairment{Delay: 6 * fleetInterval})
		}, false},
		{"advertisements are doubled and come in the wrong order", func() {
			f.path.SetAll(fake.Impairment{Duplicates: 2, Reorder: true})
		}, false},
		{"two sides, old flows go on", func() { f.path.Isolate(0, true) }, true},
		{"two sides, old flows are cut", func() {
			f.addressSwitch.ResetOnTakeover = true
			f.path.Isolate(0, true)
		}, true},
		{"two sides, and a reload of priorities, peers and keys on both", func() {
			f.path.Isolate(0, true)
			f.split()
			for i := range f.gateways {
				f.reload(i, func(s string) string {
					if i == 0 { // a peer less, until the next reload
						s = strings.Replace(s, "peer 3 ", "# ", 1)
					}
					s = strings.Replace(s, "key 1 ", "key 2 \"a newer secret of theirs\"\nkey 1 ", 1)
					return strings.Replace(s, "priority 200", "priority 90", 1)
				})
			}
		}, true},
		{"the new key stays, the old one goes, the priority is back", func() {
			for i := range f.gateways {
				f.reload(i, func(s string) string { return strings.Replace(s, "key 1 ", "key 1 \"the secret of this fleet\"\n#", 1) })
			}
		}, false},
		{"garbage", func() {
			for n := range 3000 {
				f.path.Inject(1, 0, make([]byte, n%300))
				f.path.Inject(0, 1, append([]byte{0x31, 51, 255, 1, 0, 5}, make([]byte, n%100)...))
			}
		}, false},
	} {
		c.do()
		if c.split {
			f.split()
		}
		f.expectServed(20)
		f.path.SetAll(fake.Impairment{})
		f.awaitActive(-1)
		f.expectServed(20)
		t.Logf("%s: %+v", c.name, f.ledger.Totals())
	}
	if n := &f.gateways[0].floating.router.Counters.Dropped; n[1].Load() == 0 {
		t.Error("no garbage was counted")
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

// A gateway without servers never takes the address, whatever its priority, and takes it as soon as it can serve.
func TestBackupThatIsNotReady(t *testing.T) {
	lonely := must2(fake.NewDiscovery())
	t.Cleanup(lonely.Close)
	f := newGatewayFleet(t, true, func(i int, c *config.Config) {
		if i == 1 {
			c.KnownServers.Entries, c.Discovery = nil, lonely.Addr()
		}
	}, 100, 250)
	f.awaitActive(0)
	f.startLoad(2)
	f.expectServed(20)
	f.gateways[0].Stop()
	f.gateways[0] = nil
	if _, _, held := f.activations(1); held || f.state(1) != "backup" {
		t.Fatalf("it is %s", f.state(1))
	}
	next := *f.gateways[1].cfg
	next.Discovery = f.discovery.Addr()
	f.gateways[1].Reload(&next, f.gateways[1].operators, nil)
	f.awaitActive(1)
	f.expectServed(20)
}

// activations tells of a gateway's tenures: how many still serve, their clients, and whether it activations the address.
func (f *gatewayFleet) activations(i int) (tenures, clients int, held bool) {
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

// The address is lost with a booking out, a client that has sent half a message and one that is idle, won back while that
// tenure still answers, and lost again: every booking gets its one answer, where it was taken.
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

	prefer := func(priority int) { // the other gateway's priority
		f.reload(1, func(s string) string { return strings.Replace(s, "priority 100", fmt.Sprint("priority ", priority), 1) })
	}
	prefer(250)
	f.awaitActive(1)
	if kinds, bodies := idle.readUntil('E'); kinds != "E" || !strings.Contains(bodies[0], "C57P03\x00") {
		t.Errorf("an idle client gets %s %q", kinds, bodies)
	}
	idle.expectEnd()
	half.readUntil('E') // its request was not taken, and it is told so
	half.expectEnd()
	if _, err := net.Dial("tcp", f.floating[0]); err == nil {
		t.Error("it still listens")
	}
	prefer(100)
	f.awaitActive(0) // preempted, with the first tenure's booking still out
	idle.Close()
	half.Close()
	eventually(t, func() bool { tenures, clients, held := f.activations(0); return tenures == 2 && clients == 1 && held },
		func() string { return fmt.Sprint(f.activations(0)) })
	second := f.open(f.floating[0])
	second.Write(query(put("x3")))
	<-arrived
	f.gateways[0].floating.releaseAll(true)
	f.awaitActive(1)
	release()
	for c, want := range map[*clientConn]string{first: "value of x1", second: "value of x3"} {
		if kinds, bodies := c.readUntil('Z'); kinds != "TDCZ" || !strings.HasSuffix(bodies[1], want) {
			t.Errorf("%s %q, want %s", kinds, bodies, want)
		}
		c.readUntil('E') // sent away, now that it is idle
		c.expectEnd()
	}
	eventually(t, func() bool { n, _, _ := f.activations(0); return n == 0 }, func() string { return "a tenure is left" })
	for _, sql := range f.primary.Queries() {
		if strings.Contains(sql, "id=x2") {
			t.Error("half a request was taken for a whole one")
		}
	}
	f.expectLogged(0, "connection ended", `"reason":"moved"`)
	f.expectLogged(0, `"cause":"preempted"`)
	f.expectLogged(0, `"cause":"shutdown"`)
}

// An address that lingers on SIGTERM takes nothing new for its let-go, in which a better gateway would take it; then it serves on.
func TestDrainTimeoutOfALingeringAddress(t *testing.T) {
	f := newGatewayFleet(t, true, nil, 200)
	f.awaitActive(0)
	f.reload(0, func(s string) string { return s + "track draining 100\nlet-go 1s\n" })
	f.expectLogged(0, "former word in the operators' file", `"former":"let-go","new":"drain-timeout"`)
	c := f.open(f.floating[0])
	fl := f.gateways[0].floating
	fl.releaseAll(false)
	c.Write(query(writeQuery("x1")))
	if kinds, bodies := c.readUntil('E'); !strings.Contains(bodies[0], "C53300\x00") && !strings.Contains(bodies[0], "C57P03\x00") {
		t.Errorf("%s %q", kinds, bodies)
	}
	eventually(t, func() bool { _, _, held := f.activations(0); return held && f.state(0) == "active" }, func() string { return "the address is gone" })
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
	}, func() string { return "it takes nothing any more" })
	if !served() {
		t.Error("it does not serve on")
	}
}

// A tenure whose lease has run out takes nothing new: what comes is refused unsent, and its client sent away.
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
		t.Fatal("the gate of the holder is shut")
	}
	late := make(chan struct{}) // as if the clock had run on while the process stood still
	go func() {
		defer close(late)
		f.gateways[0].floating.router.Stall(4 * fleetInterval)
	}()
	eventually(t, func() bool { return !gate() }, func() string { return "the gate stays open while the speaker stands still" })
	c.Write(query(writeQuery("x1")))
	if kinds, bodies := c.readUntil('E'); !strings.Contains(bodies[0], "C53300\x00") && !strings.Contains(bodies[0], "C57P03\x00") {
		t.Errorf("%s %q", kinds, bodies)
	}
	<-late
	if n := len(f.primary.Queries()); n != 0 {
		t.Errorf("%d statements were sent", n)
	}
	f.expectLogged(0, `"cause":"stood_still"`)
	f.awaitActive(0)
	if m := vrrp.CauseStalled; fl.router.Counters.Deactivations[m].Load() == 0 {
		t.Error("not counted")
	}
}

// A gateway that cannot have its socket says so and does not start half.
func TestFloatingAddressInUse(t *testing.T) {
	f := newGatewayFleet(t, true, nil, 200)
	f.awaitActive(0)
	cfg := *f.gateways[0].cfg
	if _, err := Start(&cfg, f.conf[0](unchanged), &logBuffer{}); err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("%v", err)
	}
}
