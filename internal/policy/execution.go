package policy

// Execution is whether a server has run an attempt. It is set by the code that reads and writes the
// connection, and it alone decides on retries and rejections. A Result cannot take its place, because
// results also describe roles, freshness and health, and are rewritten for those purposes.
type Execution uint8

// The executions. The zero value makes no promise.
const (
	ExecutionUnknown Execution = iota // the attempt may have run, or may still run
	ExecutionNone                     // it is proven that the attempt has not run and will not run
	ExecutionDone                     // a server has run the attempt
)

// ExecutionNames are the names of the executions in logs and counters. Operators' tools read them.
var ExecutionNames = [...]string{
	ExecutionUnknown: "unknown",
	ExecutionNone:    "none",
	ExecutionDone:    "done",
}

// CombinedWith returns what an execution and the result received with it prove together. If e is
// ExecutionNone and the result is one that only a completely written attempt can have, the execution and the
// result contradict each other, and together they mean ExecutionUnknown. CombinedWith can only add evidence
// that the attempt ran, and no other code removes such evidence.
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
