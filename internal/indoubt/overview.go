package indoubt

import "marblespan/internal/clock"

// View is one booking in hand, for whoever asks.
type View struct {
	Key     string
	Request string
	Class   string
	Phase   string
	For     clock.Micros // since it came
	Record  Record       // as last known
}

var phaseNames = [...]string{
	"claiming", "reading", "waiting", "taking_over", "looking", "under_way", "confirming", "settling", "settling", "following",
}

// Views lists what is in hand, in the order in which it came.
func (d *Desk) Views(now clock.Micros) (all []View) {
	for i := range d.entries {
		e := &d.entries[i]
		v := View{Key: e.ask.Key, Request: e.ask.Request, Class: e.ask.Class, Phase: phaseNames[e.phase], For: max(now-e.came, 0), Record: e.record}
		v.Record.Value = nil
		all = append(all, v)
	}
	return all
}
