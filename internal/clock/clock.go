// Package clock has the one type for time of the pure state machines. They read no clock: whoever drives one passes the time in.
package clock

// Micros is a point in time or a duration in whole microseconds, on the clock of whoever drives the state machine.
type Micros int64
