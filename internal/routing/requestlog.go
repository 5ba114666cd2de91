package routing

import (
	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// The log names requests that ended without a served answer, and answers of servers that were not passed on. Both kinds come in
// bursts of thousands when a group is lost or full: each has its own limit.
const (
	maxLoggedBurst = 50                       // lines at once
	logInterval    = 200 * clock.Micros(1000) // one more line each
)

// lineLimit limits the lines of one kind. It counts those left out; the next line tells how many.
type lineLimit struct {
	spentUntil clock.Micros // the lines so far are paid for by then
	leftOut    int64
}

// take reports whether a line may be written now, and how many were left out before it.
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

// requestLog holds the limits of the lines about requests.
type requestLog struct{ unserved, unused lineLimit }

// endedAttempt is what is remembered of an attempt that was not served, for the log.
type endedAttempt struct {
	server   policy.ServerID
	received policy.Result // as it ended on the connection
	result   policy.Result // as it was taken
	role     policy.Role   // that the server told

	execution policy.Execution
	latency   clock.Micros
}

// roleNames are the roles' names in the log.
var roleNames = [...]string{policy.RoleUnknown: "", policy.RolePrimary: "primary", policy.RoleReplica: "replica"}

// addTo writes the attempt into a log line.
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

// logUnserved logs a request that ends without a served answer: why, after how long, and how each of its attempts ended.
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

// logUnused logs a server's answer that is not passed on to the client.
func (c *Core) logUnused(q *request, a endedAttempt, why string) {
	leftOut, ok := c.requestLog.unused.take(c.now)
	if !ok {
		return
	}
	line := c.log.Info().Str("id", q.clientID).Str("request", q.id).Str("class", c.Counts.ClassNames[q.counterIndex]).Int("group", q.group)
	a.addTo(line, c)
	line.Str("reason", why).Int64("left_out", leftOut).Msg("answer not used")
}
