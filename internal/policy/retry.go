package policy

// Parameters of the retry budget. One token is 1000 thousandths.
const (
	retryTokensPerArrival = 200 // tokens for retries that each arrival adds, in thousandths
	maxSavedTokens        = 10  // maximum number of saved tokens, for retries and separately for health checks
)

// retryBudget bounds the retries of attempts that may have run. It is one of four bounds on retries. The
// others are mayRetry below, placeOnPrimary (half of a write's attempts while no primary is known), and
// routing.Core.startAttempt, which checks the number of attempts and the deadline once more.
type retryBudget struct {
	retryTokens int64 // in thousandths; added by arrivals
}

// mayHaveRun reports whether any attempt of a request ran or may have run. An attempt in flight may have
// run.
func mayHaveRun(req *request) bool {
	for _, a := range req.attempts {
		if a.execution != ExecutionNone {
			return true
		}
	}
	return false
}

// mayRetry reports whether a request may have another attempt: the request has no final answer, it has
// attempts left, no attempt is in flight, and a second run is harmless.
func (r *Router) mayRetry(req *request) bool {
	return !req.done && len(req.attempts) < req.settings.MaxAttempts && req.outstanding() == 0 && mayReject(req)
}

// mayReject reports whether the client can be told that a retry is harmless: the class is idempotent, or
// no attempt may have run.
func mayReject(req *request) bool {
	return req.class.Effect == EffectIdempotent || !mayHaveRun(req)
}

// takeRetryToken takes a token for a retry from the budget and reports whether the budget had a token. The
// budget prevents slow servers or errors everywhere from multiplying the load. The retry of an attempt that
// never ran is free.
//
// Trade-off: while the budget is empty, a read that a retry could have saved ends unserved.
func (r *Router) takeRetryToken(ended *attempt) bool {
	return ended.execution == ExecutionNone || takeToken(&r.retryTokens)
}

// takeToken takes one token from a budget and reports whether the budget had a token.
func takeToken(budget *int64) bool {
	if *budget < one {
		return false
	}
	*budget -= one
	return true
}
