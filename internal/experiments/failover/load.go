package failover

import (
	"fmt"
	"sync"
	"time"

	"marblespan/internal/fake"
	"marblespan/internal/testcluster"
)

// loadBalancer simulates a load balancer that spreads clients over the gateways' own listeners. A client keeps its gateway until the load
// balancer detects that the gateway is unavailable.
type loadBalancer struct {
	mu              sync.Mutex
	nodes           []*testcluster.Node
	unavailableFrom map[int]time.Time // by gateway number: when the load balancer detects the fault
	detectionDelay  time.Duration
}

// plannedRestartNotice is the time after which the load balancer detects a planned restart (SIGTERM).
const plannedRestartNotice = 300 * time.Millisecond

// fault records a fault of gateway i that was injected at a time.
func (f *loadBalancer) fault(i int, at time.Time, k faultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k.affectsBalancer {
		f.unavailableFrom[i] = at.Add(f.detectionDelay)
		if k.name == "term" {
			f.unavailableFrom[i] = at.Add(plannedRestartNotice)
		}
	}
}

// repaired records that gateway i is available again.
func (f *loadBalancer) repaired(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unavailableFrom, i)
}

// addr returns the address of the gateway that a client should connect to now.
func (f *loadBalancer) addr(client int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var available []string
	for _, n := range f.nodes {
		if at, faulty := f.unavailableFrom[n.Number]; !faulty || time.Now().Before(at) {
			available = append(available, n.Listen)
		}
	}
	return available[client%len(available)]
}

// bookingLoad runs the clients of an experiment, each on a goroutine of its own. stop ends the goroutines and waits for them.
type bookingLoad struct {
	floatingLedger, balancerLedger fake.Ledger
	balancer                       *loadBalancer
	stopping                       chan struct{}
	once                           sync.Once
	done                           sync.WaitGroup
}

// startLoad starts the clients: o.Clients clients that use the floating address, and the same number of clients that use the load
// balancer.
func startLoad(o Options, f *testcluster.Cluster) *bookingLoad {
	l := &bookingLoad{stopping: make(chan struct{}), balancer: &loadBalancer{nodes: f.Nodes, unavailableFrom: map[int]time.Time{}, detectionDelay: o.BalancerDetectionDelay}}
	for c := range 2 * o.Clients {
		b := &fake.Client{
			Name: fmt.Sprint("c", c), Class: testcluster.ClassBooking, Group: testcluster.FirstGroup, Timeout: time.Second, MaxAttempts: 1000, Backoff: 5 * time.Millisecond,
			Addr: f.Switch.Addr, Ledger: &l.floatingLedger, Route: f.Switch.GatewayOf,
		}
		if c >= o.Clients {
			b.Ledger, b.Route = &l.balancerLedger, nil
			b.Addr = func() string { return l.balancer.addr(c) }
		}
		l.done.Go(func() { l.write(b, o.ThinkTime) })
	}
	return l
}

// write makes a client write until stop is called, with a pause of thinkTime before each write.
func (l *bookingLoad) write(client *fake.Client, thinkTime time.Duration) {
	defer client.Close()
	for n := 0; ; n++ {
		select {
		case <-l.stopping:
			return
		case <-time.After(thinkTime):
		}
		client.Write(fmt.Sprintf("%s-%d", client.Name, n))
	}
}

func (l *bookingLoad) stop() {
	l.once.Do(func() { close(l.stopping) })
	l.done.Wait()
}
