package policy

// Reason is why a request ended without a served answer.
type Reason uint8

// The reasons.
const (
	ReasonTimeUp       Reason = iota // an answer would earn nothing any more
	ReasonNothingSent                // no attempt was sent in the first half of the request's time
	ReasonTooLate                    // too little time is left for an attempt
	ReasonNoCapacity                 // no server has capacity, and the request's answer would probably be late
	ReasonMayHaveRun                 // an attempt may have run, and a second run would do harm
	ReasonAttemptsUsed               // all attempts of the request are used
	ReasonRetryBudget                // the retry budget is empty
)

// ReasonNames are the names of the reasons in logs and counters. Operators' tools read them.
var ReasonNames = [...]string{
	ReasonTimeUp:       "time_up",
	ReasonNothingSent:  "nothing_sent",
	ReasonTooLate:      "too_late",
	ReasonNoCapacity:   "no_capacity",
	ReasonMayHaveRun:   "may_have_run",
	ReasonAttemptsUsed: "attempts_used",
	ReasonRetryBudget:  "retry_budget",
}

// String returns the name of the reason in the log.
func (reason Reason) String() string { return ReasonNames[reason] }
