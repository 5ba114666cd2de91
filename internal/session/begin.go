package session

import (
	"errors"

	"marblespan/internal/clock"
	"marblespan/internal/routing"
)

// This file decides whether the first byte of an attempt may still be written. Between Servers.Send and that moment an attempt may have
// waited for its connection, or the process for a processor.

// errWithdrawn is returned when a server was withdrawn, or got another address, before the first byte of an attempt was written.
var errWithdrawn = errors.New("the server was withdrawn or moved before the request was sent")

// withdrawn reports whether an attempt must no longer be started on this connection, because since Servers.Send its server was
// withdrawn or got another address. Health checks are not affected.
func (l *serverConn) withdrawn(t *task) bool {
	return !t.healthCheck && (t.withdrawalsAtSend != l.endpoint.withdrawals.Load() || l.all.endpointOf(t.Server) != l.endpoint)
}

// errClientGone is returned when the client of an attempt had disconnected before the attempt's first byte was written.
var errClientGone = errors.New("the client disconnected before the request was sent")

// mayBegin reports whether the first byte of an attempt may be written, as far as the server's freshness and role are concerned. If the
// attempt had to wait for a new connection, it asks the owner. Health checks are not affected.
func (l *serverConn) mayBegin(t *task) bool {
	if t.healthCheck || t.cancelled() { // the write finds the cancellation
		return true
	}
	if l.served == 0 && !l.confirm(t) {
		return false
	}
	return t.FreshUntil == 0 || l.all.Clock.Now() <= t.FreshUntil
}

// confirm asks the owner whether an attempt may still begin, and updates the attempt's limit.
func (l *serverConn) confirm(t *task) bool {
	type decision struct {
		freshUntil clock.Micros
		mayBegin   bool
	}
	decided := make(chan decision, 1)
	l.all.Owner.Post(routing.AttemptReady{Job: t.Job, Decide: func(freshUntil clock.Micros, mayBegin bool) {
		decided <- decision{freshUntil, mayBegin}
	}})
	select {
	case d := <-decided:
		t.FreshUntil = d.freshUntil
		return d.mayBegin
	case <-t.ctx.Done():
		return false
	}
}
