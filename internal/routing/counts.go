package routing

import "marblespan/brain"

// Results and forms as counters name them.
var (
	ResultNames = [...]string{
		"served", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss",
	}
	FormNames = [...]string{"delta", "full", "cached", "failed"}
	KindNames = [...]string{"served", "refused", "failed", "rejected"}
)

// Counts are the owner's counters since the start.
type Counts struct {
	Requests   []int64 // by class
	Sends      []int64
	Gone       []int64
	Answers    [len(KindNames)][]int64
	Outcomes   [len(ResultNames)]int64
	Probes     [len(ResultNames)]int64
	ProbesSent int64
	// UnknownGroup counts requests refused because no list has ever named their group.
	UnknownGroup int64
	Lists        [len(FormNames)]int64
	Watches      int64
	Fetches      int64
}

func newCounts(classes int) Counts {
	c := Counts{
		Requests: make([]int64, classes), Sends: make([]int64, classes), Gone: make([]int64, classes),
	}
	for k := range c.Answers {
		c.Answers[k] = make([]int64, classes)
	}
	return c
}

var _ = [1]struct{}{}[brain.ResultMiss-brain.Result(len(ResultNames)-1)] // every result has its name
