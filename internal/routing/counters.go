package routing

import (
	"slices"

	"marblespan/internal/policy"
)

// The names of results, list forms and kinds of answers in the log lines of counters. Operators' tools read them: they stay
// when the constants are renamed.
var (
	ResultNames = [...]string{
		policy.ResultOK:            "served",
		policy.ResultError:         "error",
		policy.ResultOverloaded:    "full",
		policy.ResultTimeout:       "timeout",
		policy.ResultConnectFailed: "connect_failed",
		policy.ResultReset:         "reset",
		policy.ResultCancelled:     "cancelled",
		policy.ResultNotSent:       "moot",
		policy.ResultMisdirected:   "miss",
	}
	ListFormNames = [...]string{
		policy.ListDelta:    "delta",
		policy.ListFull:     "full",
		policy.ListCached:   "cached",
		policy.ListFailed:   "failed",
		policy.ListCordoned: "aside",
	}
	AnswerKindNames = [...]string{
		AnswerServed: "served", AnswerRejected: "refused", AnswerFailed: "failed", AnswerDuplicateID: "rejected",
	}
)

// Counts are the owner's counters since the start. Those by class are indexed as ClassNames; a class keeps its index for as
// long as the gateway runs, also when the settings change.
type Counts struct {
	ClassNames  []string
	Requests    []int64                       // by class: taken in
	Sends       []int64                       // by class: attempts sent
	Disconnects []int64                       // by class: clients that left before their answer
	Answers     [len(AnswerKindNames)][]int64 // by kind and class
	Outcomes    [len(ResultNames)]int64       // of attempts
	// Reasons counts, by kind of answer, why requests ended without a served one.
	Reasons      [len(AnswerKindNames)][len(policy.ReasonNames)]int64
	Executions   [len(policy.ExecutionNames)]int64 // of attempts: whether they ran
	StaleAnswers int64                             // answers of replicas to reads that need the primary, discarded

	UnknownGroup int64 // requests rejected because no list has ever named their group
	ClassChanged int64 // requests rejected because their class changed while they were on their way in

	HealthChecks     [len(ResultNames)]int64
	HealthChecksSent int64

	ListUpdates [len(ListFormNames)]int64
	Watches     int64 // started or stopped
	Fetches     int64

	Reloads int64 // of the settings
}

// counterIndexes finds the indexes of classes by their names; new ones are added.
func (n *Counts) counterIndexes(classes []string) []int {
	indexes := make([]int, len(classes))
	for i, name := range classes {
		indexes[i] = slices.Index(n.ClassNames, name)
		if indexes[i] < 0 {
			indexes[i] = n.addClass(name)
		}
	}
	return indexes
}

// addClass adds a counter of each kind for a class and returns its index.
func (n *Counts) addClass(name string) int {
	n.ClassNames = append(n.ClassNames, name)
	n.Requests = append(n.Requests, 0)
	n.Sends = append(n.Sends, 0)
	n.Disconnects = append(n.Disconnects, 0)
	for kind := range n.Answers {
		n.Answers[kind] = append(n.Answers[kind], 0)
	}
	return len(n.ClassNames) - 1
}

var _ = [1]struct{}{}[policy.ResultMisdirected-policy.Result(len(ResultNames)-1)] // every result has its name
