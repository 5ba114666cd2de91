package routing

import "marblespan/internal/policy"

// perform carries out the router's actions in order.
func (c *Core) perform(actions []policy.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case policy.Send:
			c.startAttempt(a)
		case policy.Reject:
			c.endUnserved(a.ID, Answer{Kind: AnswerRejected, RetryAfter: a.RetryAfter, MayHaveRun: a.MayHaveRun}, a.Reason)
		case policy.Fail:
			c.endUnserved(a.ID, Answer{Kind: AnswerFailed}, a.Reason)
		case policy.Cancel:
			c.cancelAttempt(a)
		case policy.SetTimer:
			c.timers.set(a.At, a.Timer)
		case policy.HealthCheck:
			c.Counts.HealthChecksSent++
			c.servers.HealthCheck(a.Server, c.now, c.now+c.inForce.Settings.ConnectTimeout)
		case policy.CloseIdle:
			c.servers.CloseIdle(a.Server)
		case policy.Withdraw:
			c.servers.Withdraw(a.Server)
		case policy.Forget:
			c.endpoints.forget(a.Server)
			c.servers.Forget(a.Server)
		case policy.Watch:
			c.watch(a.On)
		case policy.Fetch:
			c.Counts.Fetches++
			c.discovery.Fetch()
		case policy.Log:
			c.logPolicy(a)
		case policy.SendToPeer: // ignored: no connection between gateways carries these messages
		}
	}
}

// logPolicy writes a log line from the router, with the UID of the server that the line is about.
func (c *Core) logPolicy(a policy.Log) {
	line := c.log.Info().Str("from", "module")
	if a.Server != 0 {
		line.Str("server", c.endpoints.uidByID[a.Server])
	}
	line.Msg(a.Text)
}

// startAttempt sends an attempt to its server. It repeats checks that policy has already made, because a mistake in policy
// could otherwise run a request twice or retry it without end: the request must be open, have no other attempt in flight, be
// within its deadline and have made fewer than MaxAttempts attempts. The first attempt is allowed even if MaxAttempts is 0.
// An attempt that fails a check is not sent; the router receives its outcome, policy.ResultNotSent, after the other actions
// of the same step.
func (c *Core) startAttempt(a policy.Send) {
	q := c.requests.byID[a.ID]
	if q == nil {
		return
	}
	index := len(q.attempts)
	q.attempts = append(q.attempts, nil)
	deadline := min(a.Until, q.deadline)
	if q.closed || q.inFlight > 0 || deadline <= c.now || index >= max(q.settings.Settings.MaxAttempts, 1) {
		c.Counts.Outcomes[policy.ResultNotSent]++
		c.pending = append(c.pending, policy.Outcome{
			ID: q.id, Attempt: index, Server: a.Server, Result: policy.ResultNotSent,
			Execution: policy.ExecutionNone, Final: q.closed,
		})
		return
	}
	c.Counts.Sends[q.counterIndex]++
	q.inFlight++
	q.attempts[index] = c.servers.Send(Job{
		ID: q.id, Attempt: index, Server: a.Server, Client: q.client, Payload: q.payload.Share(), SentAt: c.now, Deadline: deadline,
		FreshUntil:    a.FreshUntil,
		NonIdempotent: q.requestClass().Effect == policy.EffectNonIdempotent,
	})
}

// cancelAttempt cancels an attempt unless it has already ended.
func (c *Core) cancelAttempt(a policy.Cancel) {
	q := c.requests.byID[a.ID]
	if q != nil && a.Attempt < len(q.attempts) && q.attempts[a.Attempt] != nil {
		q.attempts[a.Attempt].Cancel()
	}
}

// watch starts a watch from the revision of the current endpoint list, or stops the watch.
func (c *Core) watch(on bool) {
	c.Counts.Watches++
	if on {
		c.discovery.Watch(c.endpoints.revision)
	} else {
		c.discovery.StopWatch()
	}
}
