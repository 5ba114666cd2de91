package streams

import (
	"slices"
	"time"
)

// Ping sends a message to a peer and waits for the answer on the peer's stream to this gateway. It returns the round-trip time,
// or ErrTimeout, ErrUnreachable or an error of Send.
func (x *Streams) Ping(name string, deadline time.Time) (time.Duration, error) {
	answer := make(chan struct{}, 1)
	x.mu.Lock()
	x.lastPing++
	number := x.lastPing
	x.pings[number] = answer
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.pings, number)
		x.mu.Unlock()
	}()
	begin := time.Now()
	lost := make(chan struct{}, 1)
	body := appendPingNumber(nil, number)
	if err := x.Send(Message{To: name, Channel: ping, Body: body, OnLost: func(bool) { lost <- struct{}{} }}); err != nil {
		return 0, err
	}
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case <-answer:
		return time.Since(begin), nil
	case <-lost:
		return 0, ErrUnreachable
	case <-timeout.C:
		return 0, ErrTimeout
	}
}

// answerPing sends the answer to a ping on the stream to its sender. If that fails, the sender's Ping returns ErrTimeout.
func (x *Streams) answerPing(from string, body []byte) {
	x.Send(Message{To: from, Channel: pong, Body: slices.Clone(body)})
}

// handlePong passes an answer to the Ping call that waits for it.
func (x *Streams) handlePong(_ string, body []byte) {
	number, ok := readPingNumber(body)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if answer := x.pings[number]; answer != nil {
		select {
		case answer <- struct{}{}:
		default:
		}
	}
}
