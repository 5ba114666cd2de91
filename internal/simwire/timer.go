package simwire

import "marblespan/internal/policy"

// sweepToken is the wire's name of the sweep timer; every other timer is named by its request's id.
const sweepToken = "sweep"

// timerOf reads a timer's token.
func timerOf(token string) policy.Timer {
	if token == sweepToken {
		return policy.Timer{Kind: policy.TimerSweep}
	}
	return policy.Timer{RequestID: token}
}

// timerToken is the token under which a timer goes over the wire.
func timerToken(t policy.Timer) string {
	if t.Kind == policy.TimerSweep {
		return sweepToken
	}
	return t.RequestID
}
