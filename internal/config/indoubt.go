package config

import (
	"time"

	"marblespan/internal/config/lines"
)

// The bounds of how long the outcome of an in-doubt write is kept. It must outlast the longest time that a client goes on
// asking.
const (
	minRetention = 10 * time.Second
	maxRetention = 24 * time.Hour
)

// InDoubt is one section in-doubt: what is promised of the writes of a class before they are sent.
type InDoubt struct {
	lines.Source
	Class       string        `title:"true" validate:"required,max=64"`
	Clients     string        `conf:"clients" validate:"oneof=mark do-not-mark"` // what they do with a request that they repeat
	Order       string        `conf:"order" validate:"oneof=safe fast"`
	Retention   time.Duration `conf:"retention"`
	MaxInFlight int           `conf:"max-in-flight" validate:"min=1,max=16384"`  // writes
	Lookup      []string      `conf:"lookup" validate:"max=2,dive,min=1,max=64"` // a class of reads, and a text that shows that the write ran
}

// Defaults are what the section has that it does not name.
func (d *InDoubt) Defaults() {
	d.Clients, d.Order, d.Retention, d.MaxInFlight = "mark", "fast", 10*time.Minute, 4096
}

func checkInDoubt(operators *Operators, faults *faultList) {
	seen := map[string]bool{} // classes
	for _, d := range operators.InDoubt {
		if operators.StateStore == nil {
			faults.add(d.Source, "in-doubt", 0, "there is no state-store section: what is promised is kept in it")
		}
		if seen[d.Class] {
			faults.add(d.Source, "in-doubt", 0, "%s is there twice", d.Class)
		}
		seen[d.Class] = true
		if d.Retention < minRetention || d.Retention > maxRetention {
			faults.add(d.Source, "retention", 0, "%v is not from %v to %v", d.Retention, minRetention, maxRetention)
		}
	}
}
