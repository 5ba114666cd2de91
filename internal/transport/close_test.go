package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// until waits for something that the kernel does by itself.
func until(t *testing.T, holds func() bool, what string) {
	t.Helper()
	for end := testDeadline(); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// What is given up before it is written is not written: an abort between two lines of the serving goroutine holds, whatever
// deadline the write sets behind it. Fails without the look at aborted in Write.
func TestAbortBeforeAWrite(t *testing.T) {
	c, peer := connected(t)
	c.Abort()
	if n, err := c.Write(testDeadline(), net.Buffers{[]byte("late")}); n != 0 || err == nil {
		t.Errorf("%d bytes written, %v", n, err)
	}
	c.Close()
	if got, _ := io.ReadAll(peer); len(got) > 0 {
		t.Errorf("the peer got %q", got)
	}
}

// A close shows behind bytes that nobody has read, an orderly one and a reset alike; an open connection shows none.
func TestPeerClosedBehindUnreadBytes(t *testing.T) {
	for _, reset := range []bool{false, true} {
		c, peer := connected(t)
		peer.Write([]byte("unread"))
		until(t, func() bool { return !c.Silent() }, "the bytes never came")
		if c.PeerClosed() {
			t.Fatal("an open connection is told to be closed")
		}
		if reset {
			peer.SetLinger(0)
		}
		peer.Close()
		until(t, c.PeerClosed, "the close is not seen")
	}
	c, _ := connected(t)
	c.Close()
	if !c.PeerClosed() {
		t.Error("a connection that is closed here is told to be open")
	}
}

// Bytes that arrive in the instant of a close do not turn it into a reset: the peer reads the whole of its last answer and
// an orderly end, and what it writes goes on being taken until it closes too. Fails where Close follows without Linger.
func TestLingerOverUnreadBytes(t *testing.T) {
	c, peer := connected(t)
	answer := bytes.Repeat([]byte("answer"), 1000)
	if _, err := c.Write(testDeadline(), net.Buffers{answer}); err != nil {
		t.Fatal(err)
	}
	peer.Write([]byte("a request that nobody reads"))
	until(t, func() bool { return !c.Silent() }, "the request never came")
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.Linger(testDeadline(), 1<<20)
		c.Close()
	}()
	got, err := io.ReadAll(peer)
	if err != nil || !bytes.Equal(got, answer) {
		t.Errorf("the peer read %d bytes of %d, %v", len(got), len(answer), err)
	}
	for range 2 { // a reset would show at the second at the latest
		if _, err := peer.Write([]byte("more")); err != nil {
			t.Errorf("the connection was reset: %v", err)
		}
	}
	peer.Close()
	<-closed
}

// Once a listener has taken in its backlog the address refuses: nobody connects to a gateway that takes nobody in any more
// and is reset when it ends. Fails where the socket stays open behind Serve.
func TestClosedListenerRefuses(t *testing.T) {
	l, err := Listen("127.0.0.1:0", NewBuffers(1<<20), NewDescriptors(1024))
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	l.Serve(func(c *Conn, _ bool) { c.Close() })
	if _, err := net.Dial("tcp", l.Addr()); DialReason(err) != EndConnectionRefused {
		t.Errorf("connecting ended with %v", err)
	}
	if _, err := l.tcp.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accepting ended with %v", err)
	}
}
