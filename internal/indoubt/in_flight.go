package indoubt

import "marblespan/internal/clock"

// InFlightWrite describes a write in flight, for operators.
type InFlightWrite struct {
	Key       string
	RequestID string
	Class     string
	Phase     string       // one of phaseNames
	Age       clock.Micros // time since the write's request was received
	Intent    Intent       // the last known intent, without the answer
}

// InFlight lists the writes in flight in the order in which their requests were received.
func (r *Resolver) InFlight(now clock.Micros) []InFlightWrite {
	var all []InFlightWrite
	for _, w := range r.writes.all() {
		view := InFlightWrite{
			Key: w.request.Key, RequestID: w.request.RequestID, Class: w.request.Class,
			Phase: phaseNames[w.phase], Age: max(now-w.receivedAt, 0), Intent: w.intent,
		}
		view.Intent.Value = nil
		all = append(all, view)
	}
	return all
}
