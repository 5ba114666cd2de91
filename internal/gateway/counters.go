package gateway

import (
	"github.com/rs/zerolog"

	"marblespan/internal/policy"
	"marblespan/internal/routing"
	"marblespan/internal/transport"
)

// LogCounters logs all counters: one line for each class, one line for each kind of peer and reason of ended connections, one line
// for the whole gateway, the lines of the routing core, and the lines of the sections that the operators' file enables.
func (g *Gateway) LogCounters() {
	g.owner.Call(g.logRoutingCounters)
	g.logConnectionCounters()
}

// logConnectionCounters logs all counters that are kept outside the routing core.
func (g *Gateway) logConnectionCounters() {
	g.connectionEnds.Each(func(party string, reason transport.Reason, n int64) {
		g.log.Info().Str("party", party).Stringer("reason", reason).Int64("ended", n).Msg("connections ended")
	})
	c := g.clients.Counts
	g.log.Info().Int64("empty", c.Empty.Load()).Int64("not_ready", c.NotReady.Load()).
		Int64("malformed", c.Malformed.Load()).Int64("unsupported", c.Unsupported.Load()).
		Int64("over_memory", c.OverMemory.Load()).Int64("paced", c.Paced.Load()).Int("clients", g.clients.Open()).
		Int("descriptors", g.descriptors.Used()).Int64("message_bytes", g.buffers.Reserved()).
		Uint64("runtime_bytes", runtimeMemory()).Msg("gateway counters")
	g.floating.logCounters()
	g.members.logCounters()
	g.logStoreCounters()
	g.logIntentCounters()
}

// logRoutingCounters logs the routing core's counters. It runs on the routing owner's goroutine.
func (g *Gateway) logRoutingCounters(c *routing.Core) {
	n := &c.Counts
	for i, name := range n.ClassNames {
		line := g.log.Info().Str("class", name).Int64("requests", n.Requests[i]).Int64("sends", n.Sends[i]).
			Int64("gone", n.Disconnects[i])
		for k, kind := range routing.AnswerKindNames {
			line = line.Int64(kind, n.Answers[k][i])
		}
		line.Msg("requests by class")
	}
	for _, kind := range []routing.AnswerKind{routing.AnswerRejected, routing.AnswerFailed} {
		line := g.log.Info().Str("answer", routing.AnswerKindNames[kind])
		addCounts(line, policy.ReasonNames[:], n.Reasons[kind][:]).Msg("requests not served")
	}
	addCounts(g.log.Info(), routing.ResultNames[:], n.Outcomes[:]).Msg("outcomes of attempts")
	addCounts(g.log.Info(), policy.ExecutionNames[:], n.Executions[:]).Msg("executions of attempts")
	addCounts(g.log.Info().Int64("sent", n.HealthChecksSent), routing.ResultNames[:], n.HealthChecks[:]).Msg("outcomes of health checks")
	addCounts(g.log.Info().Int64("watches", n.Watches).Int64("fetches", n.Fetches), routing.ListFormNames[:],
		n.ListUpdates[:]).Int("open", c.OpenRequests()).Int64("unknown_group", n.UnknownGroup).
		Int64("class_changed", n.ClassChanged).Int64("gone_before_routing", n.GoneBeforeRouting).
		Int64("not_current", n.StaleAnswers).Int64("settings_reloads", n.Reloads).Msg("endpoint lists")
}

// addCounts adds a field for each name and its count to a log line.
func addCounts(line *zerolog.Event, names []string, counts []int64) *zerolog.Event {
	for i, name := range names {
		line = line.Int64(name, counts[i])
	}
	return line
}
