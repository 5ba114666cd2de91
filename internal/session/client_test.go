package session

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/transport"
)

// idleClient returns a client's connection between requests, and the peer's end of it.
func idleClient(t *testing.T) (*client, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	fds := transport.NewDescriptors(1024)
	conn, err := transport.Dial(context.Background(), l.Addr().String(), time.Now().Add(testTimeout),
		transport.NewBuffers(1<<20), fds, false)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); peer.Close() })
	all := &Clients{Fds: fds, Ends: transport.NewEndRecorder(zerolog.Nop()), Limits: DefaultTimeouts}
	return &client{all: all, conn: conn, answerReady: make(chan struct{}, 1), sentRequest: true}, peer
}

// If a connection is asked to close after the first bytes of a request have reached the kernel, it serves the request first.
func TestClosingDoesNotCutOffARequest(t *testing.T) {
	c, peer := idleClient(t)
	if _, err := peer.Write([]byte("Q")); err != nil { // the rest arrives later
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); c.conn.Silent(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request did not reach the kernel")
		}
	}
	c.CloseIdle(transport.EndEvicted)
	time.AfterFunc(10*time.Millisecond, func() { peer.Write([]byte{0, 0, 0, 4}) })
	if reason, err := c.idle(5); err != nil {
		t.Fatalf("closed with reason %s (%v) although a request had begun to arrive", reason, err)
	}
	c.conn.Skip(5)
	if reason, err := c.idle(5); err == nil || reason != transport.EndEvicted {
		t.Errorf("after the request: reason %s, %v, want the connection closed as evicted", reason, err)
	}
}
