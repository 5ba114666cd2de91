package datagrams

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// countingHandler counts the calls of its methods.
type countingHandler struct {
	started, checked, read atomic.Int64
	last                   atomic.Value
	next                   atomic.Int64 // nanoseconds until the next timer; 0: there is none
}

func (c *countingHandler) Start() { c.started.Add(1) }

func (c *countingHandler) NextTimer() time.Time {
	if d := c.next.Load(); d > 0 {
		return time.Now().Add(time.Duration(d))
	}
	return time.Time{}
}

func (c *countingHandler) HandleDatagram(b []byte, _ netip.AddrPort) {
	c.read.Add(1)
	c.last.Store(string(b))
}

func (c *countingHandler) CheckTimers() { c.checked.Add(1) }

// TestLoop checks that datagrams are read in batches between two checks of the timers, that tasks run while no datagrams arrive,
// that timers are checked when they are due, and that Close ends the loop.
func TestLoop(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		l, err := Listen(netip.MustParseAddrPort(address), 8)
		if err != nil {
			t.Skipf("no %s here: %v", address, err)
		}
		c := &countingHandler{}
		go l.Run(c)
		if !l.Do(func() {}) || c.started.Load() != 1 {
			t.Fatal("a task did not run")
		}
		from, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.Addr()))
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		wait := func(what string, holds func() bool) {
			t.Helper()
			for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal(what)
				}
			}
		}
		busy := make(chan bool)
		go l.Do(func() { <-busy }) // datagrams that arrive meanwhile wait in the kernel's buffer
		const n = 200
		for range n - 1 {
			from.Write([]byte("x"))
		}
		from.Write([]byte("far too long"))
		before := c.checked.Load()
		close(busy)
		wait("not all datagrams were read", func() bool { return c.read.Load() == n })
		if checks := c.checked.Load() - before; checks > n/2 {
			t.Errorf("timers were checked %d times for %d datagrams", checks, n)
		}
		if got := c.last.Load(); got != "far too l" {
			t.Errorf("a datagram that is too long was read as %q", got)
		}
		before = c.checked.Load()
		c.next.Store(int64(time.Millisecond))
		l.Do(func() {})
		wait("timers were not checked", func() bool { return c.checked.Load() > before+2 })
		l.Close()
		if l.Do(func() {}) {
			t.Error("a task ran after Close")
		}
	}
}
