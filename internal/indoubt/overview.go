package indoubt

import "marblespan/internal/clock"

// View is one booking in hand, for whoever asks.
type InFlightWrite struct {
	Key       string
	RequestID string
	Class     string
	Phase     string
	Age       clock.Micros // since it came
	Intent    Intent       // as last known
}

var phaseNames = [...]string{
	"claiming", "reading", "waiting", "taking_over", "looking", "under_way", "confirming", "settling", "settling", "following",
}

// Views lists what is in hand, in the order in which it came.
func (d *Resolver) InFlight(now clock.Micros) (all []InFlightWrite) {
	for i := range d.writes {
		e := &d.writes[i]
		v := InFlightWrite{Key: e.request.Key, RequestID: e.request.RequestID, Class: e.request.Class, Phase: phaseNames[e.phase], Age: max(now-e.receivedAt, 0), Intent: e.intent}
		v.Intent.Value = nil
		all = append(all, v)
	}
	return all
}
