package routing

import (
	"time"

	"marblespan/internal/clock"
)

// Clock returns the Unix time of its creation plus the monotonic time elapsed since, so that its readings never go backwards.
type Clock struct{ start time.Time }

// NewClock returns a clock that counts from the current Unix time.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the current time.
func (c Clock) Now() clock.Micros {
	return clock.Micros(c.start.UnixMicro()) + clock.Micros(time.Since(c.start)/time.Microsecond)
}

// Time converts a reading of the clock to a time.Time, for deadlines.
func (c Clock) Time(m clock.Micros) time.Time {
	return c.start.Add(time.Duration(m-clock.Micros(c.start.UnixMicro())) * time.Microsecond)
}
