package routing

import (
	"time"

	"marblespan/internal/clock"
)

// Clock reads Unix time at its making plus the monotonic time since, so that it never steps back.
type Clock struct{ start time.Time }

// NewClock makes a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now reads the clock.
func (c Clock) Now() clock.Micros {
	return clock.Micros(c.start.UnixMicro()) + clock.Micros(time.Since(c.start)/time.Microsecond)
}

// Time converts a reading of the clock, for deadlines.
func (c Clock) Time(m clock.Micros) time.Time {
	return c.start.Add(time.Duration(m-clock.Micros(c.start.UnixMicro())) * time.Microsecond)
}
