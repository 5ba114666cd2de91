package routing

import (
	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// The log has a line for each request that ended without a server's answer, and for each server's answer that was not passed
// on. Both kinds of line come in bursts of thousands when a group is down or overloaded, so each kind has its own limit.
const (
	maxLoggedBurst = 50                       // lines that may be written at once
	logInterval    = 200 * clock.Micros(1000) // after a burst, one more line per interval
)

// lineLimit limits the log lines of one kind. It counts the lines left out; the next line written includes that number.
type lineLimit struct {
	spentUntil clock.Micros // each line written moves this time forward by logInterval; it must not pass the current time
	leftOut    int64        // lines left out since the last line was written
}

// take reports whether a line may be written now, and if so how many lines were left out before it.
func (l *lineLimit) take(now clock.Micros) (leftOut int64, ok bool) {
	l.spentUntil = max(l.spentUntil, now-maxLoggedBurst*logInterval)
	if l.spentUntil+logInterval > now {
		l.leftOut++
		return 0, false
	}
	l.spentUntil += logInterval
	leftOut, l.leftOut = l.leftOut, 0
	return leftOut, true
}

// requestLog holds the limits of the log lines about requests.
type requestLog struct{ unserved, unused, rejectedIDs lineLimit }

// endedAttempt records, for the log, an attempt that ended without an answer for the client.
type endedAttempt struct {
	server   policy.ServerID
	received policy.Result // result as received from Servers
	result   policy.Result // result as passed to the router
	role     policy.Role   // role as reported by the server

	execution policy.Execution
	latency   clock.Micros
}

// roleNames has the names of roles in the log.
var roleNames = [...]string{policy.RoleUnknown: "", policy.RolePrimary: "primary", policy.RoleReplica: "replica"}

// addTo adds the attempt's fields to a log line.
func (a endedAttempt) addTo(line *zerolog.Event, c *Core) {
	line.Str("server", c.endpoints.uidByID[a.server]).Str("result", ResultNames[a.result])
	if a.received != a.result {
		line.Str("received", ResultNames[a.received])
	}
	if a.role != policy.RoleUnknown {
		line.Str("role", roleNames[a.role])
	}
	line.Str("execution", policy.ExecutionNames[a.execution]).Int64("took_us", int64(a.latency))
}

// logUnserved logs a request that ends without a server's answer: the reason, the time it took, and how each attempt ended.
func (c *Core) logUnserved(q *request, kind AnswerKind, reason string) {
	leftOut, ok := c.requestLog.unserved.take(c.now)
	if !ok {
		return
	}
	attempts := zerolog.Arr()
	for _, a := range q.ended {
		entry := zerolog.Dict()
		a.addTo(entry, c)
		attempts.Dict(entry)
	}
	c.log.Info().Str("id", q.clientID).Str("request", q.id).Str("class", c.Counts.ClassNames[q.counterIndex]).Int("group", q.group).
		Str("answer", AnswerKindNames[kind]).Str("reason", reason).Int64("after_us", int64(c.now-q.readAt)).
		Int64("left_us", int64(q.deadline-c.now)).Int("in_flight", q.inFlight).Array("attempts", attempts).
		Int64("left_out", leftOut).Msg("request not served")
}

// logRejectedID logs a request that is rejected because of its client's id, and whether the earlier request with that id is under way.
func (c *Core) logRejectedID(e *Request, class int, conflict idConflict) {
	leftOut, ok := c.requestLog.rejectedIDs.take(c.now)
	if !ok {
		return
	}
	c.log.Info().Str("id", e.ClientID).Str("class", c.Counts.ClassNames[c.counterIndexes[class]]).Int("group", e.Arrival.Group).
		Str("answer", AnswerKindNames[AnswerDuplicateID]).Str("reason", string(conflict)).Int64("left_out", leftOut).Msg("request not served")
}

// logUnused logs a server's answer that is not passed on to the client, and the reason.
func (c *Core) logUnused(q *request, a endedAttempt, why string) {
	leftOut, ok := c.requestLog.unused.take(c.now)
	if !ok {
		return
	}
	line := c.log.Info().Str("id", q.clientID).Str("request", q.id).Str("class", c.Counts.ClassNames[q.counterIndex]).Int("group", q.group)
	a.addTo(line, c)
	line.Str("reason", why).Int64("left_out", leftOut).Msg("answer not used")
}
