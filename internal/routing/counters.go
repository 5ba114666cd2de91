package routing

import (
	"slices"

	"marblespan/internal/policy"
)

// The names of results, list forms and answer kinds in the log lines of counters. Operators' tools read these names, so they
// must not change when the constants are renamed.
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

// Counts holds the counters of Core since its start. Counters by class are indexed like ClassNames. A class keeps its index
// as long as the gateway runs, even if the settings change.
type Counts struct {
	ClassNames  []string
	Requests    []int64                       // by class: requests passed to the router
	Sends       []int64                       // by class: attempts sent
	Disconnects []int64                       // by class: clients that disconnected before their answer
	Answers     [len(AnswerKindNames)][]int64 // answers to clients, by kind of answer and class
	Outcomes    [len(ResultNames)]int64       // attempts that ended, by result
	// Reasons counts requests that ended without a server's answer, by kind of answer and reason.
	Reasons      [len(AnswerKindNames)][len(policy.ReasonNames)]int64
	Executions   [len(policy.ExecutionNames)]int64 // attempts that ended, by whether the attempt ran
	StaleAnswers int64                             // answers discarded: a replica answered a read that needs the primary

	UnknownGroup int64 // requests rejected because no list has ever named their group
	ClassChanged int64 // requests rejected because their class changed after they were read
	// GoneBeforeRouting counts requests dropped because their clients had disconnected before the router got them.
	GoneBeforeRouting int64

	HealthChecks     [len(ResultNames)]int64
	HealthChecksSent int64

	ListUpdates [len(ListFormNames)]int64
	Watches     int64 // watches of the endpoint list started or stopped
	Fetches     int64

	Reloads int64 // reloads of the settings
}

// counterIndexes returns the indexes of the named classes, and adds classes that are new.
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

// addClass adds the counters of a new class and returns the class's index.
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

var _ = [1]struct{}{}[policy.ResultMisdirected-policy.Result(len(ResultNames)-1)] // fails to compile unless every result has a name
