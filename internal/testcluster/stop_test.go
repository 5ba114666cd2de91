package testcluster

import (
	"bufio"
	encoding "encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// stopSeeds is how many seeds TestStop runs if soakSeeds does not say otherwise.
const stopSeeds = 4

// stopCase is one planned restart of a gateway, drawn from a seed.
type stopCase struct {
	deadline     time.Duration // of all classes
	drainTimeout time.Duration // of the floating address
	kept         bool          // the gateway keeps the floating address while it drains
	checks       string        // what servers do with reads that need newer data
	marks        string        // who remembers the sessions' writes
	trouble      string        // what happens before the stop
	lead         time.Duration // from the trouble to the stop
}

// The troubles before a stop.
const (
	troubleNone    = "none"
	troubleKilled  = "the other gateways are killed"
	troublePaused  = "the other gateways are paused"
	troublePrimary = "no path to the primary"
	troubleAll     = "no path to the servers, and the other gateways are killed"
)

func drawStopCase(seed uint64) stopCase {
	rng := rand.New(rand.NewPCG(seed, 0))
	return stopCase{
		deadline:     []time.Duration{100 * time.Millisecond, 240 * time.Millisecond, time.Second, 4 * time.Second}[seed%4],
		drainTimeout: []time.Duration{50 * time.Millisecond, time.Second}[rng.IntN(2)],
		kept:         rng.IntN(2) == 0,
		checks:       []string{"none", "bounce", "await"}[rng.IntN(3)],
		marks:        []string{"kept", "brought"}[rng.IntN(2)],
		trouble:      []string{troubleNone, troubleKilled, troubleKilled, troublePaused, troublePrimary, troubleAll}[rng.IntN(6)],
		lead:         time.Duration(rng.IntN(1200)) * time.Millisecond,
	}
}

// options returns the options of a cluster for the case.
func (c stopCase) options(seed uint64, dir string) Options {
	o := options()
	o.Seed, o.Dir, o.ServiceTime = seed, dir, min(c.deadline/8, 60*time.Millisecond)
	o.StateStore, o.InDoubt = DefaultStateStore(), &InDoubt{StoreFirst: seed%2 == 0}
	o.StateStore.InMemory = true
	o.RewriteSettings = func(text string) string {
		ms := c.deadline.Milliseconds()
		return strings.NewReplacer(
			`"aim_ms": 750`, fmt.Sprint(`"aim_ms": `, ms/2), `"aim_ms": 500`, fmt.Sprint(`"aim_ms": `, ms/2), `"give_up_ms": 1000`, fmt.Sprint(`"give_up_ms": `, ms),
			`"checks": "none"`, fmt.Sprintf(`"checks": %q`, c.checks), `"write_marks": "brought"`, fmt.Sprintf(`"write_marks": %q`, c.marks),
		).Replace(text)
	}
	o.RewriteConfig = func(conf string) string {
		conf += fmt.Sprintf(" drain-timeout %v\n", c.drainTimeout)
		if c.kept {
			conf += " track draining 1\n" // not enough to make another gateway preempt it
		}
		return conf
	}
	o.Priorities = []int{200, 100, 99}
	return o
}

// makeTrouble does what the case names.
func (c stopCase) makeTrouble(cluster *Cluster) error {
	signal := func(s syscall.Signal) error {
		for _, n := range cluster.Nodes[1:] {
			if err := n.Signal(s); err != nil {
				return err
			}
		}
		return nil
	}
	sever := func(line string) error {
		_, err := cluster.InjectLine(line)
		return err
	}
	switch c.trouble {
	case troubleKilled:
		return signal(syscall.SIGKILL)
	case troublePaused:
		return signal(syscall.SIGSTOP)
	case troublePrimary:
		return sever("at 0s sever 1 -> p")
	case troubleAll:
		if err := signal(syscall.SIGKILL); err != nil {
			return err
		}
		for _, server := range []string{"p", "r1", "r2"} {
			if err := sever("at 0s sever 1 -> " + server); err != nil {
				return err
			}
		}
	}
	return nil
}

// stopClient is a client that sends one request after another on a connection until the connection ends.
type stopClient struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialStopClient(addr string) (*stopClient, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &stopClient{conn, bufio.NewReader(conn)}
	conn.Write([]byte("\x00\x00\x00\x25\x00\x03\x00\x00user\x00backend\x00database\x00store\x00\x00"))
	return c, c.readUntilReady(time.Now().Add(2 * time.Second))
}

// readUntilReady reads messages up to ReadyForQuery. An error message that ends the connection counts as an answer.
func (c *stopClient) readUntilReady(deadline time.Time) error {
	c.conn.SetReadDeadline(deadline)
	for answered := false; ; {
		header := make([]byte, 5)
		if _, err := io.ReadFull(c.r, header); err != nil {
			if answered && err == io.EOF {
				return nil
			}
			return err
		}
		if _, err := c.r.Discard(int(encoding.BigEndian.Uint32(header[1:])) - 4); err != nil {
			return err
		}
		if header[0] == 'Z' {
			return nil
		}
		answered = answered || header[0] == 'E'
	}
}

// exchange sends a statement and waits for its answer.
func (c *stopClient) exchange(statement string, deadline time.Time) error {
	message := encoding.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(statement)+5))
	if _, err := c.conn.Write(append(append(message, statement...), 0)); err != nil {
		return err
	}
	return c.readUntilReady(deadline)
}

// stopStatement returns a statement of a class for a key.
func stopStatement(class, id, key string, deadline time.Duration) string {
	head := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ ", id, class, deadline.Milliseconds(), FirstGroup)
	if class == ClassBooking {
		return head + fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x01') RETURNING content`, key)
	}
	return head + fmt.Sprintf("SELECT content FROM kv WHERE name = '%s'", key)
}

// TestStop guards against requests that get no answer at a planned restart, whatever they wait for (incidents of 2026-12-06, waits at a stop
// and drain timeout at a stop). Real processes; SIGKILL comes at the earliest time that the platform allows. soakSeeds plays more seeds.
func TestStop(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector does not check the gateways' processes")
	}
	seeds, _ := strconv.Atoi(os.Getenv(soakSeeds))
	if seeds == 0 {
		seeds = stopSeeds
	}
	var openAtSignal, lostRequests atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				untimedSlots <- true
				defer func() { <-untimedSlots }()
				open, lost := drawStopCase(seed).play(t, seed)
				openAtSignal.Add(open)
				lostRequests.Add(lost)
			})
		}
	})
	t.Logf("%d seeds, %d requests open at the signal, %d lost", seeds, openAtSignal.Load(), lostRequests.Load())
}

// play plays the case, and returns how many requests were open when the gateway was told to end, and how many requests got no answer.
func (c stopCase) play(t *testing.T, seed uint64) (open, lost int64) {
	const (
		clients  = 160
		crossing = 100 * time.Millisecond // a connection that ends sooner after a request was sent may have ended before it was read
		patience = 550 * time.Millisecond // beyond a request's time
		grace    = 700 * time.Millisecond // from the longest deadline to SIGKILL
	)
	cluster, err := New(c.options(seed, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	var inFlight, lostCount atomic.Int64
	var stoppedAt atomic.Int64 // in nanoseconds of Unix time; 0: not yet
	var done sync.WaitGroup
	for n := range clients {
		addr := []string{cluster.Nodes[0].Listen, cluster.Nodes[0].Floating}[n%2]
		class := []string{ClassMine, ClassBooking, ClassMine, ClassSeat, ClassView}[n/2%5]
		client, err := dialStopClient(addr)
		if err != nil {
			t.Fatalf("%s: %v", addr, err)
		}
		done.Go(func() {
			defer client.conn.Close()
			for i := 0; ; i++ {
				id := fmt.Sprintf("%d-%d", n, i)
				sent := time.Now()
				inFlight.Add(1)
				err := client.exchange(stopStatement(class, id, fmt.Sprint("k", id), c.deadline), sent.Add(c.deadline+patience))
				inFlight.Add(-1)
				if err == nil {
					time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
					continue
				}
				if took := time.Since(sent); took > crossing {
					lostCount.Add(1)
					t.Errorf("%s %s at %s: no answer in %v (%v), sent %v after SIGTERM", class, id, addr, took, err, sent.Sub(time.Unix(0, stoppedAt.Load())))
				}
				return
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if err := c.makeTrouble(cluster); err != nil {
		t.Fatal(err)
	}
	time.Sleep(c.lead)
	open = inFlight.Load()
	stoppedAt.Store(time.Now().UnixNano())
	process := cluster.Nodes[0].currentProcess()
	process.signal(syscall.SIGTERM)
	select {
	case <-process.ended:
	case <-time.After(min(c.deadline, 3*time.Second) + grace):
		process.signal(syscall.SIGKILL)
	}
	done.Wait()
	t.Logf("%+v: %d requests open at the signal, %d lost", c, open, lostCount.Load())
	return open, lostCount.Load()
}
