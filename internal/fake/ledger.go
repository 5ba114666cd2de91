package fake

import (
	"fmt"
	"regexp"
	"slices"
	"sync"
	"time"
)

// Outcome is the final result of one operation of a client, over all its attempts.
type Outcome uint8

// The outcomes.
const (
	Served      Outcome = iota
	Failed              // answered with an error; the statement may have run
	Unknown             // the connection ended without an answer; the statement may have run
	Rejected            // every attempt was rejected; the statement has not run
	NumOutcomes         // not an outcome, but the number of outcomes
)

// OutcomeNames are the outcomes' names in results.
var OutcomeNames = [NumOutcomes]string{"served", "failed", "unknown", "refused"}

// Ledger records the operations of clients and their outcomes. Its methods may be called concurrently.
type Ledger struct {
	mu         sync.Mutex
	outcomes   map[string]Outcome // by key
	totals     Totals
	successes  []ClientEvent
	unanswered []ClientEvent
}

// ClientEvent is the end of an operation, as a client saw it.
type ClientEvent struct {
	At     time.Time
	Client string
	Via    string // the gateway that the connection was forwarded to
	End    string // how a connection without an answer ended: "closed", "reset" or "timeout"
}

// Totals are the counts of a ledger.
type Totals struct {
	Counts             [NumOutcomes]int
	Attempts           int // statements written
	Rejections         int // attempts that were rejected
	FailedConnects     int // connections that could not be established
	UnsolicitedAnswers int // answers without a request
}

// Totals returns the counts so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// Successes lists the operations that were served, in the order in which they ended.
func (l *Ledger) Successes() []ClientEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.successes)
}

// Unanswered lists the operations whose connection ended without an answer, in the order in which they ended.
func (l *Ledger) Unanswered() []ClientEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.unanswered)
}

func (l *Ledger) record(key string, outcome Outcome, event ClientEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcomes == nil {
		l.outcomes = map[string]Outcome{}
	}
	l.outcomes[key] = outcome
	l.totals.Counts[outcome]++
	switch outcome {
	case Served:
		l.successes = append(l.successes, event)
	case Unknown:
		l.unanswered = append(l.unanswered, event)
	}
}

// increment adds one to a counter of the ledger's totals.
func (l *Ledger) increment(counter *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*counter++
}

var insertedKey = regexp.MustCompile(`INSERT INTO kv \(name, content\) VALUES \('([^']*)'`)

// Check compares the outcomes that clients saw with the statements that servers ran. It returns the number of writes that ran,
// and a description of each violation: a write that ran more than once, a write that was served but did not run exactly
// once, a write that was rejected but ran, and answers without a request.
func (l *Ledger) Check(servers ...*Server) (runs int, faults []string) {
	ran := map[string]int{}
	for _, s := range servers {
		for _, sql := range s.Queries() {
			if m := insertedKey.FindStringSubmatch(sql); m != nil {
				ran[m[1]]++
				runs++
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, n := range ran {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("%s ran %d times", key, n))
		}
		if outcome, ok := l.outcomes[key]; ok && outcome == Rejected {
			faults = append(faults, fmt.Sprintf("%s was rejected but ran", key))
		}
	}
	for key, outcome := range l.outcomes {
		if outcome == Served && ran[key] != 1 {
			faults = append(faults, fmt.Sprintf("%s was served but ran %d times", key, ran[key]))
		}
	}
	if l.totals.UnsolicitedAnswers > 0 {
		faults = append(faults, fmt.Sprintf("%d answers without a request", l.totals.UnsolicitedAnswers))
	}
	return runs, faults
}
