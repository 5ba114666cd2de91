// Package clock defines the time type of the pure state machines. The state machines read no clock: their caller passes the
// current time in.
package clock

// Micros is a point in time or a duration in whole microseconds, on the clock of the state machine's caller.
type Micros int64
