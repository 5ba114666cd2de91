package testcluster

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"marblespan/internal/fake"
)

// Load is a set of clients that send bookings and reads until Stop is called. Every request is recorded in the history.
type Load struct {
	cluster      *Cluster
	quit         chan struct{}
	once         sync.Once
	done         sync.WaitGroup
	ledger       fake.Ledger
	retryInDoubt bool
}

// LoadOptions set the number of clients of each kind, and the pause of each client between requests.
type LoadOptions struct {
	Bookers         int // clients that book at the gateways' own listeners
	FloatingBookers int // clients that book at the floating address
	Viewers         int
	SeatReaders     int // clients that read recently booked keys, and must see those bookings
	SessionReaders  int // clients that read in the sessions of recent bookings, at any gateway
	QuoteReaders    int // like SeatReaders, but no read may run twice
	ThinkTime       time.Duration
	RetryInDoubt    bool // clients retry bookings that may have run, at the next gateway
}

// DefaultLoad returns options for a light load.
func DefaultLoad() LoadOptions {
	return LoadOptions{Bookers: 4, FloatingBookers: 2, Viewers: 4, SeatReaders: 2, ThinkTime: 10 * time.Millisecond}
}

// classCount returns the number of classes of requests in the load.
func (o LoadOptions) classCount() (n int) {
	for _, clients := range []int{o.Bookers + o.FloatingBookers, o.Viewers, o.SeatReaders, o.SessionReaders, o.QuoteReaders} {
		n += min(clients, 1)
	}
	return n
}

// clientBackoff is a client's pause after a rejection or a failed connection.
const clientBackoff = 10 * time.Millisecond

// maxRecentKeys is the number of recently booked keys from which reads choose.
const maxRecentKeys = 32

// Load starts clients. Load.Stop stops them.
func (c *Cluster) Load(options LoadOptions) *Load {
	load := &Load{cluster: c, quit: make(chan struct{}), retryInDoubt: options.RetryInDoubt}
	var mu sync.Mutex
	var booked []string
	recent := func(add string) string {
		mu.Lock()
		defer mu.Unlock()
		if add != "" {
			if booked = append(booked, add); len(booked) > maxRecentKeys {
				booked = booked[1:]
			}
		}
		if len(booked) == 0 {
			return "nothing"
		}
		return booked[rand.IntN(len(booked))]
	}
	book := func(b *fake.Client, n int) {
		key := fmt.Sprintf("%s-%d", b.Name, n)
		recent(key) // the key is added before the booking, so that other clients also read the key while it is being booked
		b.Group = c.groupOf(key)
		b.Write(key)
	}
	readRecent := func(b *fake.Client, _ int) {
		key := recent("")
		b.Group = c.groupOf(key)
		b.Read(key)
	}
	load.clients("b", ClassBooking, options.Bookers, options.ThinkTime, book, false)
	load.clients("f", ClassBooking, options.FloatingBookers, options.ThinkTime, book, true)
	load.clients("v", ClassView, options.Viewers, options.ThinkTime, readRecent, false)
	load.clients("s", ClassSeat, options.SeatReaders, options.ThinkTime, readRecent, false)
	load.clients("m", ClassMine, options.SessionReaders, options.ThinkTime, readRecent, false)
	load.clients("q", ClassQuote, options.QuoteReaders, options.ThinkTime, readRecent, false)
	return load
}

// clients starts clients of one kind. Each client uses one gateway as long as its connection lasts, and connects to the next
// gateway when it must reconnect, as a front end would.
func (l *Load) clients(kind, class string, count int, think time.Duration, do func(*fake.Client, int), floating bool) {
	cluster := l.cluster
	for i := range count {
		turn := i
		client := &fake.Client{
			Name: fmt.Sprint(kind, i), Class: class, Group: FirstGroup, Timeout: requestTimeout, MaxAttempts: 20, Backoff: clientBackoff, Ledger: &l.ledger,
			Addr: func() string { turn++; return cluster.Nodes[turn%len(cluster.Nodes)].Listen }, OnExchange: l.recordExchange,
		}
		if l.retryInDoubt && class == ClassBooking {
			// A failover of the address takes some hundred milliseconds, so a client needs many attempts to get the outcome.
			client.RetryTimeouts, client.MaxAttempts = 3, 400
		}
		if floating {
			client.Addr, client.Route = cluster.Switch.Addr, cluster.Switch.GatewayOf
		}
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			defer client.Close()
			for n := 0; ; n++ {
				select {
				case <-l.quit:
					return
				case <-time.After(think + time.Duration(rand.Int64N(int64(think)+1))):
				}
				do(client, n)
			}
		}()
	}
}

// recordExchange records a client's request, or the end of a request.
func (l *Load) recordExchange(exchange fake.Exchange) {
	event := Event{
		At: l.cluster.History.Timestamp(exchange.At), Kind: RequestSent, Node: l.cluster.GatewayFor(exchange.Via), ID: exchange.ID, Client: exchange.Client, Class: exchange.Class, Key: exchange.Key,
		Timeout: requestTimeout.Microseconds(),
	}
	if exchange.Reused {
		event.Text = reusedConnection
	}
	if exchange.Retry {
		event.Text = strings.TrimSpace(event.Text + " " + retryMark)
	}
	if exchange.End != "" {
		event.Kind, event.What, event.Value = ResponseReceived, exchange.End, exchange.Value
		event.Text = strings.TrimSpace(event.Text + " " + exchange.ErrorText)
	}
	l.cluster.History.Add(event)
}

// reusedConnection marks a request on a connection that has carried another request before. If the gateway closes the connection
// while such a request is on its way, the gateway has not read the request.
const reusedConnection = "reused"

// codeShutdown is the error code that a gateway sends when it closes a connection between two requests.
const codeShutdown = "57P03"

// retryMark marks the retry of a request that may have run.
const retryMark = "again"

// Stop lets every client finish its current request, and waits for all of them.
func (l *Load) Stop() {
	l.once.Do(func() { close(l.quit) })
	l.done.Wait()
}

// Totals returns the numbers of operations by outcome, over all clients.
func (l *Load) Totals() fake.Totals { return l.ledger.Totals() }

// InDoubtBookings returns the number of operations of which the client does not know whether the operation ran.
func (l *Load) InDoubtBookings() int {
	t := l.ledger.Totals()
	return t.Counts[fake.Failed] + t.Counts[fake.Unknown]
}
