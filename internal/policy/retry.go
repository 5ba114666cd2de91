package policy

// The tuned numbers of the retry budget. A token is 1000 thousandths.
const (
	retryTokensPerArrival = 200 // retries of what may have run, for each arrival, in thousandths
	maxSavedTokens        = 10  // such retries saved up; health checks save as many
)

// retryBudget bounds the retries of attempts that may have run. It is one of four bounds on retries: mayRetry
// below has the second, placeOnPrimary (half of a write's attempts while no primary is known) the third, and
// routing.Core.startAttempt, which checks the number of attempts and the deadline once more, the fourth.
type retryBudget struct {
	retryTokens int64 // in thousandths; filled by arrivals
}

// mayHaveRun tells whether any attempt of a request ran or may have run. Those in flight may.
func mayHaveRun(req *request) bool {
	for _, a := range req.attempts {
		if a.execution != ExecutionNone {
			return true
		}
	}
	return false
}

// mayRetry tells whether a request may have another attempt: its final answer is not given, it has
// attempts left, none is in flight, and a second run would do no harm.
func (r *Router) mayRetry(req *request) bool {
	return !req.done && len(req.attempts) < req.settings.MaxAttempts && req.outstanding() == 0 && mayReject(req)
}

// mayReject tells whether it is true that the client may retry without harm: the class is
// idempotent, or nothing may have run.
func mayReject(req *request) bool {
	return req.class.Effect == EffectIdempotent || !mayHaveRun(req)
}

// takeRetryToken pays for a retry out of the budget and tells whether it could, so that slowness or
// errors everywhere do not multiply the load. A retry of what never ran costs nothing.
//
// The harm: with an empty budget a read ends that a retry could have saved.
func (r *Router) takeRetryToken(ended *attempt) bool {
	return ended.execution == ExecutionNone || takeToken(&r.retryTokens)
}

// takeToken takes one token from a budget, if there is one.
func takeToken(budget *int64) bool {
	if *budget < one {
		return false
	}
	*budget -= one
	return true
}
