package policy

// Execution says whether a server has run an attempt. It is a fact of its own, set where the bytes are
// seen, and alone decides on retries and rejections. A Result cannot stand for it: results also speak of
// roles, freshness and health, and are rewritten for those.
type Execution uint8

// The executions. The zero value promises nothing.
const (
	ExecutionUnknown Execution = iota // it may have run, or may yet run
	ExecutionNone                     // proven: it has not run, and will not
	ExecutionDone                     // a server has run it
)

// ExecutionNames are the names in the log and in counters. Operators' tools read them.
var ExecutionNames = [...]string{
	ExecutionUnknown: "unknown",
	ExecutionNone:    "none",
	ExecutionDone:    "done",
}

// CombinedWith returns what an execution and the result received with it prove together. ExecutionNone is
// not accepted beside a result that only a completely written attempt can have, and becomes
// ExecutionUnknown. The combination only strengthens the claim that the attempt ran; no other code weakens
// that claim.
func (e Execution) CombinedWith(received Result) Execution {
	switch received {
	case ResultOK:
		return ExecutionDone
	case ResultError, ResultTimeout, ResultReset:
		if e == ExecutionNone {
			return ExecutionUnknown
		}
	}
	return e
}
