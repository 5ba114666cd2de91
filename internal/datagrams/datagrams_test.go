package datagrams

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// counter is an owner that counts, and wants to look at the time often.
type countingHandler struct {
	began, looked, read atomic.Int64
	last                atomic.Value
	next                atomic.Int64 // nanoseconds until the next look; 0: none is wanted
}

func (c *countingHandler) Start() { c.began.Add(1) }

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

func (c *countingHandler) CheckTimers() { c.looked.Add(1) }

// Datagrams are read, many before the clock is looked at once; tasks run while nothing comes; the clock is looked at when it is
// due; an end comes at once.
func TestLoop(t *testing.T) {
	for _, at := range []string{"127.0.0.1:0", "[::1]:0"} {
		l, err := Listen(netip.MustParseAddrPort(at), 8)
		if err != nil {
			t.Skipf("no %s here: %v", at, err)
		}
		c := &countingHandler{}
		go l.Run(c)
		if !l.Do(func() {}) || c.began.Load() != 1 {
			t.Fatal("a task did not run")
		}
		from, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.Addr()))
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		wait := func(what string, holds func() bool) {
			t.Helper()
			for late := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
				if time.Now().After(late) {
					t.Fatal(what)
				}
			}
		}
		busy := make(chan bool)
		go l.Do(func() { <-busy }) // what comes meanwhile waits in the kernel
		const n = 200
		for range n - 1 {
			from.Write([]byte("x"))
		}
		from.Write([]byte("far too long"))
		before := c.looked.Load()
		close(busy)
		wait("not all was read", func() bool { return c.read.Load() == n })
		if looked := c.looked.Load() - before; looked > n/2 {
			t.Errorf("the clock was looked at %d times for %d datagrams", looked, n)
		}
		if got := c.last.Load(); got != "far too l" {
			t.Errorf("a long datagram came as %q", got)
		}
		before = c.looked.Load()
		c.next.Store(int64(time.Millisecond))
		l.Do(func() {})
		wait("the clock was not looked at", func() bool { return c.looked.Load() > before+2 })
		l.Close()
		if l.Do(func() {}) {
			t.Error("a task ran after the end")
		}
	}
}
