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

// RaisedBy is what an execution and the result received with it prove together. A proof that nothing
// ran does not stand beside a result that only an attempt written as a whole can have. What is known is
// raised here and lowered nowhere.
func (e Execution) RaisedBy(received Result) Execution {
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
