package routing

import (
	"slices"

	"marblespan/internal/policy"
)

// Results and forms as counters name them.
var (
	ResultNames = [...]string{
		"served", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss",
	}
	ListFormNames   = [...]string{"delta", "full", "cached", "failed", "aside"}
	AnswerKindNames = [...]string{"served", "refused", "failed", "rejected"}
)

// Counts are the owner's counters since the start. A class keeps its place for as long as the gateway runs, also when the
// settings change.
type Counts struct {
	ClassNames       []string // of the classes
	Requests         []int64  // by class
	Sends            []int64
	Disconnects      []int64
	Answers          [len(AnswerKindNames)][]int64
	Outcomes         [len(ResultNames)]int64
	HealthChecks     [len(ResultNames)]int64
	HealthChecksSent int64
	// UnknownGroup counts requests refused because no list has ever named their group.
	UnknownGroup int64
	// ClassChanged counts requests refused because the settings changed their class while they were on their way in.
	ClassChanged int64
	StaleAnswers int64 // answers to reads that must be current, by servers that say that they are replicas
	Reloads      int64 // of the settings
	ListUpdates  [len(ListFormNames)]int64
	Watches      int64
	Fetches      int64
}

// places finds or makes the places of classes, by their names.
func (n *Counts) counterIndexes(classes []string) []int {
	out := make([]int, len(classes))
	for i, name := range classes {
		at := slices.Index(n.ClassNames, name)
		if at < 0 {
			at = len(n.ClassNames)
			n.ClassNames = append(n.ClassNames, name)
			n.Requests, n.Sends, n.Disconnects = append(n.Requests, 0), append(n.Sends, 0), append(n.Disconnects, 0)
			for k := range n.Answers {
				n.Answers[k] = append(n.Answers[k], 0)
			}
		}
		out[i] = at
	}
	return out
}

var _ = [1]struct{}{}[policy.ResultMisdirected-policy.Result(len(ResultNames)-1)] // every result has its name
