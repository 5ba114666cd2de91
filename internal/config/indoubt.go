package config

import (
	"time"

	"marblespan/internal/config/lines"
)

// The bounds of the time for which the outcome of an in-doubt write is kept. That time must be longer than the time for which a
// client keeps repeating its request.
const (
	minRetention = 10 * time.Second
	maxRetention = 24 * time.Hour
)

// InDoubt is a section in-doubt. It sets how the outcomes of in-doubt writes of one class are determined, and for how long the
// outcomes are kept.
type InDoubt struct {
	lines.Source
	Class       string        `title:"true" validate:"required,max=64"`
	Clients     string        `conf:"clients" validate:"oneof=mark do-not-mark"` // whether clients mark a request that they repeat
	Order       string        `conf:"order" validate:"oneof=safe fast"`          // safe: the outcome is stored before the client gets its answer
	Retention   time.Duration `conf:"retention"`
	MaxInFlight int           `conf:"max-in-flight" validate:"min=1,max=16384"`  // maximum number of writes in flight
	Lookup      []string      `conf:"lookup" validate:"max=2,dive,min=1,max=64"` // the class of a read, and the text in its result that shows that a write ran
}

// Defaults sets the values that apply where the file does not set a directive of the section.
func (d *InDoubt) Defaults() {
	d.Clients, d.Order, d.Retention, d.MaxInFlight = "mark", "fast", 10*time.Minute, 4096
}

func checkInDoubt(operators *Operators, faults *faultList) {
	seen := map[string]bool{} // the classes of the sections checked so far
	for _, d := range operators.InDoubt {
		if operators.StateStore == nil {
			faults.add(d.Source, "in-doubt", 0, "requires a state-store section, which stores the outcomes of writes")
		}
		if seen[d.Class] {
			faults.add(d.Source, "in-doubt", 0, "duplicate class %s", d.Class)
		}
		seen[d.Class] = true
		if d.Retention < minRetention || d.Retention > maxRetention {
			faults.add(d.Source, "retention", 0, "invalid value %v: must be from %v to %v", d.Retention, minRetention, maxRetention)
		}
	}
}
