package failover

import (
	"fmt"
	"sync"
	"time"

	"marblespan/internal/fake"
	"marblespan/internal/testcluster"
)

// loadBalancer spreads clients over the gateways' own listeners. A client keeps its gateway until the loadBalancer detects that it is unavailable.
type loadBalancer struct {
	mu              sync.Mutex
	nodes           []*testcluster.Node
	unavailableFrom map[int]time.Time // by gateway: when the front detects it
	detectionDelay  time.Duration
}

// plannedRestartNotice is how soon the front knows of a planned restart.
const plannedRestartNotice = 300 * time.Millisecond

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

func (f *loadBalancer) repaired(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unavailableFrom, i)
}

func (f *loadBalancer) addr(client int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var here []string
	for _, n := range f.nodes {
		if at, away := f.unavailableFrom[n.Number]; !away || time.Now().Before(at) {
			here = append(here, n.Listen)
		}
	}
	return here[client%len(here)]
}

// bookingLoad is the clients of an experiment, each on a goroutine that stop ends and waits for.
type bookingLoad struct {
	floatingLedger, balancerLedger fake.Ledger
	balancer                       *loadBalancer
	stopping                       chan struct{}
	once                           sync.Once
	done                           sync.WaitGroup
}

func startLoad(o Options, f *testcluster.Cluster) *bookingLoad {
	l := &bookingLoad{stopping: make(chan struct{}), balancer: &loadBalancer{nodes: f.Nodes, unavailableFrom: map[int]time.Time{}, detectionDelay: o.BalancerDetectionDelay}}
	for c := range 2 * o.Clients {
		b := &fake.Client{
			Name: fmt.Sprint("c", c), Class: testcluster.ClassBooking, Group: testcluster.Group, Timeout: time.Second, MaxAttempts: 1000, Backoff: 5 * time.Millisecond,
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

// write has a client write, with a pause before each write, until stop.
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
