package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// waitUntil waits waitUntil a condition holds that the kernel brings about.
func waitUntil(t *testing.T, holds func() bool, what string) {
	t.Helper()
	for end := testDeadline(); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// An abort before a write prevents it, whatever deadline the write sets afterwards. Fails without the check of aborted in
// Write.
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

// A close is seen behind unread bytes, an orderly one and a reset alike; an open connection is not reported closed.
func TestPeerClosedBehindUnreadBytes(t *testing.T) {
	for _, reset := range []bool{false, true} {
		c, peer := connected(t)
		peer.Write([]byte("unread"))
		waitUntil(t, func() bool { return !c.Silent() }, "the bytes never came")
		if c.PeerClosed() {
			t.Fatal("an open connection is reported closed")
		}
		if reset {
			peer.SetLinger(0)
		}
		peer.Close()
		waitUntil(t, c.PeerClosed, "the close is not seen")
	}
	c, _ := connected(t)
	c.Close()
	if !c.PeerClosed() {
		t.Error("a connection that is closed here is reported open")
	}
}

// Bytes that arrive during a close do not turn it into a reset: the peer reads its complete last response and an orderly end,
// and what it writes is accepted until it closes too. Fails if Close is called without Linger.
func TestLingerOverUnreadBytes(t *testing.T) {
	c, peer := connected(t)
	answer := bytes.Repeat([]byte("answer"), 1000)
	if _, err := c.Write(testDeadline(), net.Buffers{answer}); err != nil {
		t.Fatal(err)
	}
	peer.Write([]byte("a request that nobody reads"))
	waitUntil(t, func() bool { return !c.Silent() }, "the request never came")
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

// Once a listener has accepted its backlog, the address refuses connections: nobody connects to a gateway that no longer
// accepts and is reset when it ends. Fails if the socket stays open after Serve.
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
