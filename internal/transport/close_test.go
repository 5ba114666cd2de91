package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// waitUntil waits until a condition that the kernel brings about is true, and fails the test with failure if it stays false.
func waitUntil(t *testing.T, condition func() bool, failure string) {
	t.Helper()
	for end := testDeadline(); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// An Abort before a Write prevents the write, although Write sets a new deadline. The test fails without the check of aborted in
// Write.
func TestAbortBeforeAWrite(t *testing.T) {
	c, peer := connected(t)
	c.Abort()
	if n, err := c.Write(testDeadline(), net.Buffers{[]byte("late")}); n != 0 || err == nil {
		t.Errorf("%d bytes written, %v", n, err)
	}
	c.Close()
	if got, _ := io.ReadAll(peer); len(got) > 0 {
		t.Errorf("the peer received %q", got)
	}
}

// PeerClosed detects an orderly close and a reset behind unread bytes, and does not report an open connection as closed.
func TestPeerClosedBehindUnreadBytes(t *testing.T) {
	for _, reset := range []bool{false, true} {
		c, peer := connected(t)
		peer.Write([]byte("unread"))
		waitUntil(t, func() bool { return !c.Silent() }, "the bytes did not arrive")
		if c.PeerClosed() {
			t.Fatal("an open connection is reported closed")
		}
		if reset {
			peer.SetLinger(0)
		}
		peer.Close()
		waitUntil(t, c.PeerClosed, "the close was not detected")
	}
	c, _ := connected(t)
	c.Close()
	if !c.PeerClosed() {
		t.Error("a connection closed on this side is reported open")
	}
}

// Bytes that arrive during a close do not turn it into a reset: the peer reads its complete last answer and an orderly end, and
// its writes succeed until it closes too. The test fails if Close is called without Linger.
func TestLingerOverUnreadBytes(t *testing.T) {
	c, peer := connected(t)
	answer := bytes.Repeat([]byte("answer"), 1000)
	if _, err := c.Write(testDeadline(), net.Buffers{answer}); err != nil {
		t.Fatal(err)
	}
	peer.Write([]byte("an unread request"))
	waitUntil(t, func() bool { return !c.Silent() }, "the request did not arrive")
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
	for range 2 { // a reset would make the second write fail at the latest
		if _, err := peer.Write([]byte("more")); err != nil {
			t.Errorf("the connection was reset: %v", err)
		}
	}
	peer.Close()
	<-closed
}

// When a closed listener has accepted its backlog, the address refuses connections. Otherwise, clients could still connect to a
// gateway that no longer accepts, and would be reset when it exits. The test fails if the socket stays open after Serve.
func TestClosedListenerRefuses(t *testing.T) {
	l, err := Listen("127.0.0.1:0", NewBuffers(1<<20), NewDescriptors(1024))
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	l.Serve(func(c *Conn, _ bool) { c.Close() })
	if _, err := net.Dial("tcp", l.Addr()); DialReason(err) != EndConnectionRefused {
		t.Errorf("Dial returned %v", err)
	}
	if _, err := l.tcp.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept returned %v", err)
	}
}
