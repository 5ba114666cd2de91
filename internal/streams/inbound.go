package streams

import (
	"crypto/rand"
	"errors"
	"net"
	"time"

	"marblespan/internal/transport"
)

// serve handles one inbound connection, from its handshake until the stream ends. admitted is false if the descriptor budget
// has no room for the connection; serve then closes the connection.
func (x *Streams) serve(conn *transport.Conn, admitted bool) {
	defer conn.Close()
	x.mu.Lock()
	if x.closed || !admitted {
		x.mu.Unlock()
		x.Counts.Rejected.Add(1)
		return
	}
	x.inbound[conn] = struct{}{}
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.inbound, conn)
		x.mu.Unlock()
	}()
	select {
	case x.handshakes <- struct{}{}:
	default:
		x.Counts.Rejected.Add(1)
		return
	}
	in, err := x.acceptHandshake(conn)
	<-x.handshakes
	if err != nil {
		x.Counts.Rejected.Add(1)
		return
	}
	x.Counts.Accepted.Add(1)
	for {
		channel, body, err := in.next(time.Now().Add(readTimeout))
		if err != nil {
			if errors.Is(err, errInvalidFrame) {
				x.Counts.Rejected.Add(1)
			}
			return
		}
		x.Counts.Received.Add(1)
		if handler := x.handlers[channel].Load(); handler != nil {
			(*handler)(in.peerName, body)
		}
		in.release()
	}
}

// acceptHandshake sends the greeting and reads the hello, which contains the sender's name. The greeting contains a random number,
// which the signatures of the stream's frames include.
func (x *Streams) acceptHandshake(c *transport.Conn) (*reader, error) {
	greeting := make([]byte, greetingSize)
	greeting[0] = version
	rand.Read(greeting[1:]) // never returns an error
	deadline := time.Now().Add(handshakeTimeout)
	if _, err := c.Write(deadline, net.Buffers{greeting}); err != nil {
		return nil, err
	}
	in := &reader{streams: x, conn: c, purpose: purpose(x.settings.Deployment, greeting)}
	channel, body, err := in.next(deadline)
	if err != nil {
		return nil, err
	}
	defer in.release()
	from, to, ok := readHello(body)
	if !ok || channel != hello || to != x.settings.Node || from == x.settings.Node {
		return nil, errInvalidFrame
	}
	in.peerName = from
	return in, nil
}
