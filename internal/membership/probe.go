package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// This file is the failure detector: probes, and helpers that probe in this member's place.

// probe is one question under way.
type probe struct {
	number     uint32
	target     string
	generation uint64
	sent       clock.Micros
	nextStep   clock.Micros // when to ask again, or to judge
	direct     bool         // only the first ping is out, and no helper is asked yet
}

// errand is one question that this member asks for another one.
type relayedPing struct {
	number       uint32
	target       string
	origin       string
	originAt     netip.AddrPort
	originNumber uint32
	sent         clock.Micros
	nackSent     bool // that there is no answer yet
}

// answered notes who speaks from an address to join at.
func (m *Machine) noteJoinAnswer(source netip.AddrPort, name string) {
	if !slices.Contains(m.cfg.Join, source) {
		return
	}
	if i := slices.Index(m.joinSources, source); i >= 0 {
		m.joinNames[i] = name
		return
	}
	m.joinSources, m.joinNames = append(m.joinSources, source), append(m.joinNames, name)
}

// startProbe asks the next one: one whose path may be cut every other time, the others in a random order in which everybody
// has its turn before anybody comes again.
func (m *Machine) startProbe(now clock.Micros) {
	target := ""
	m.lastNumber++
	if len(m.reprobe) > 0 && m.lastNumber%2 == 0 {
		target, m.reprobe = m.reprobe[0], m.reprobe[1:]
	}
	for range 2 * (len(m.probeOrder) + 1) {
		if e := m.find(target); e != nil && !e.State.Ended() {
			p := probe{number: m.lastNumber, target: target, generation: e.Generation, sent: now, nextStep: now + m.cfg.Interval/directAckFraction, direct: true}
			if !slices.ContainsFunc(m.probes, func(q probe) bool { return q.target == target }) {
				m.probes = append(m.probes, p)
				m.ping(e, p.number, "", 0)
				return
			}
		}
		if m.probeTurn >= len(m.probeOrder) {
			m.shuffle()
		}
		if len(m.probeOrder) == 0 {
			return
		}
		target = m.probeOrder[m.probeTurn]
		m.probeTurn++
	}
}

// shuffle makes a new order of the living.
func (m *Machine) shuffle() {
	m.probeTurn, m.probeOrder = 0, m.probeOrder[:0:0]
	for i := range m.members {
		if e := &m.members[i]; !e.State.Ended() {
			m.probeOrder = append(m.probeOrder, e.Name)
		}
	}
	for i := len(m.probeOrder) - 1; i > 0 && m.cfg.Seed != 0; i-- {
		j := m.random(i + 1)
		m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	}
}

// judge goes on with what is asked: helpers first, then the verdict. A member that is ill itself asks longer and oftener
// before it accuses anybody.
func (m *Machine) advanceProbes(now clock.Micros) {
	t := m.cfg.Interval
	for i := range m.helperRequests {
		if a := &m.helperRequests[i]; now >= a.sentAt+t/directAckFraction {
			m.sampleHelper(!a.answered)
		}
	}
	m.helperRequests = slices.DeleteFunc(m.helperRequests, func(a helperRequest) bool { return now >= a.sentAt+t/directAckFraction })
	for i := range m.relayedPings {
		if e := &m.relayedPings[i]; !e.nackSent && now >= e.sent+t/nackFraction {
			e.nackSent = true
			msg := m.newMessage(Nack, m.find(e.origin))
			msg.To, msg.Number, msg.Target = e.origin, e.originNumber, e.target
			m.emit(Send{To: e.origin, Address: e.originAt, Message: msg})
		}
	}
	m.relayedPings = slices.DeleteFunc(m.relayedPings, func(e relayedPing) bool { return now >= e.sent+maxLocalHealth*t })
	var failed []probe
	m.probes = slices.DeleteFunc(m.probes, func(p probe) bool {
		e := m.find(p.target)
		if e == nil || e.Generation != p.generation || e.State.Ended() {
			return true
		}
		if now >= p.nextStep && now >= p.sent+t*clock.Micros(m.LocalHealth()) {
			failed = append(failed, p)
			return true
		}
		return false
	})
	for i := range m.probes {
		p := &m.probes[i]
		if now < p.nextStep {
			continue
		}
		e := m.find(p.target)
		if !p.direct {
			m.ping(e, p.number, "", 0)
		}
		p.direct = false
		p.nextStep = now + t/directAckFraction
		m.requestIndirectProbes(now, p, e)
	}
	for _, p := range failed {
		if e := m.find(p.target); now >= m.accuseFrom {
			m.suspect(now, e, e.Incarnation, m.self.Name, p.sent)
		}
	}
}

// askHelpers asks others to ask: the one that reached the target last, and some at random.
func (m *Machine) requestIndirectProbes(now clock.Micros, p *probe, target *member) {
	var chosen []string
	choose := func(e *member) {
		if e == nil {
			return
		}
		chosen = append(chosen, e.Name)
		msg := m.newMessage(IndirectPing, e)
		msg.Number, msg.Target, msg.TargetAddress = p.number, target.Name, target.Address
		m.emit(Send{To: e.Name, Address: e.Address, Message: msg})
		m.helperRequests = append(m.helperRequests, helperRequest{e.Name, p.number, now, false})
	}
	if e := m.find(target.lastHelper); e != nil && e.State == Alive {
		choose(e)
	}
	for len(chosen) < indirectProbeHelpers {
		e := m.pickAlive(func(e *member) bool {
			return e.State == Alive && e.Name != target.Name && !slices.Contains(chosen, e.Name)
		})
		if e == nil {
			return
		}
		choose(e)
	}
}

// sample notes whether a helper kept its word. Helpers are members that nobody suspects, so where many of them are silent it
// is this member, or its network, that is ill.
func (m *Machine) sampleHelper(missed bool) {
	sample := 0
	if missed {
		sample = 1000
	}
	m.helperMisses += (sample - m.helperMisses) / localHealthSamples
}
