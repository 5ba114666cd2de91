package policy

// Reason says why a request ended without a served answer.
type Reason uint8

// The reasons.
const (
	ReasonTimeUp       Reason = iota // an answer would earn nothing any more
	ReasonNothingSent                // nothing was sent by half of its time
	ReasonTooLate                    // too little time is left for another attempt
	ReasonNoCapacity                 // no server can take it, and its answer would be late
	ReasonMayHaveRun                 // an attempt may have run, and a second run would do harm
	ReasonAttemptsUsed               // it has had all of its attempts
	ReasonRetryBudget                // the retry budget is empty
)

// ReasonNames are the reasons' names in the log and in counters. Operators' tools read them.
var ReasonNames = [...]string{
	ReasonTimeUp:       "time_up",
	ReasonNothingSent:  "nothing_sent",
	ReasonTooLate:      "too_late",
	ReasonNoCapacity:   "no_capacity",
	ReasonMayHaveRun:   "may_have_run",
	ReasonAttemptsUsed: "attempts_used",
	ReasonRetryBudget:  "retry_budget",
}

// String is the reason's name in the log.
func (reason Reason) String() string { return ReasonNames[reason] }
