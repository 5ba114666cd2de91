package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// This file is the failure detector: probes, and helpers that probe in this member's place.

// probe is one question under way.
type probe struct {
	number uint32
	target string
	life   uint64
	sent   clock.Micros
	next   clock.Micros // when to ask again, or to judge
	direct bool         // only the first ping is out, and no helper is asked yet
}

// errand is one question that this member asks for another one.
type errand struct {
	number       uint32
	target       string
	origin       string
	originAt     netip.AddrPort
	originNumber uint32
	sent         clock.Micros
	said         bool // that there is no answer yet
}

// answered notes who speaks from an address to join at.
func (m *Machine) answered(source netip.AddrPort, name string) {
	if !slices.Contains(m.cfg.Join, source) {
		return
	}
	if i := slices.Index(m.joined, source); i >= 0 {
		m.joinedAs[i] = name
		return
	}
	m.joined, m.joinedAs = append(m.joined, source), append(m.joinedAs, name)
}

// startProbe asks the next one: one whose path may be cut every other time, the others in a random order in which everybody
// has its turn before anybody comes again.
func (m *Machine) startProbe(now clock.Micros) {
	target := ""
	m.number++
	if len(m.again) > 0 && m.number%2 == 0 {
		target, m.again = m.again[0], m.again[1:]
	}
	for range 2 * (len(m.order) + 1) {
		if e := m.find(target); e != nil && !e.State.Ended() {
			p := probe{number: m.number, target: target, life: e.Generation, sent: now, next: now + m.cfg.Interval/answerPart, direct: true}
			if !slices.ContainsFunc(m.probing, func(q probe) bool { return q.target == target }) {
				m.probing = append(m.probing, p)
				m.ping(e, p.number, "", 0)
				return
			}
		}
		if m.turn >= len(m.order) {
			m.shuffle()
		}
		if len(m.order) == 0 {
			return
		}
		target = m.order[m.turn]
		m.turn++
	}
}

// shuffle makes a new order of the living.
func (m *Machine) shuffle() {
	m.turn, m.order = 0, m.order[:0:0]
	for i := range m.members {
		if e := &m.members[i]; !e.State.Ended() {
			m.order = append(m.order, e.Name)
		}
	}
	for i := len(m.order) - 1; i > 0 && m.cfg.Seed != 0; i-- {
		j := m.random(i + 1)
		m.order[i], m.order[j] = m.order[j], m.order[i]
	}
}

// judge goes on with what is asked: helpers first, then the verdict. A member that is ill itself asks longer and oftener
// before it accuses anybody.
func (m *Machine) judge(now clock.Micros) {
	t := m.cfg.Interval
	for i := range m.asks {
		if a := &m.asks[i]; now >= a.at+t/answerPart {
			m.sample(!a.answered)
		}
	}
	m.asks = slices.DeleteFunc(m.asks, func(a ask) bool { return now >= a.at+t/answerPart })
	for i := range m.errands {
		if e := &m.errands[i]; !e.said && now >= e.sent+t/nackPart {
			e.said = true
			msg := m.message(Nack, m.find(e.origin))
			msg.To, msg.Number, msg.Target = e.origin, e.originNumber, e.target
			m.act(Send{To: e.origin, Address: e.originAt, Message: msg})
		}
	}
	m.errands = slices.DeleteFunc(m.errands, func(e errand) bool { return now >= e.sent+mostHealth*t })
	var failed []probe
	m.probing = slices.DeleteFunc(m.probing, func(p probe) bool {
		e := m.find(p.target)
		if e == nil || e.Generation != p.life || e.State.Ended() {
			return true
		}
		if now >= p.next && now >= p.sent+t*clock.Micros(m.LocalHealth()) {
			failed = append(failed, p)
			return true
		}
		return false
	})
	for i := range m.probing {
		p := &m.probing[i]
		if now < p.next {
			continue
		}
		e := m.find(p.target)
		if !p.direct {
			m.ping(e, p.number, "", 0)
		}
		p.direct = false
		p.next = now + t/answerPart
		m.askHelpers(now, p, e)
	}
	for _, p := range failed {
		if e := m.find(p.target); now >= m.quietBy {
			m.suspect(now, e, e.Incarnation, m.self.Name, p.sent)
		}
	}
}

// askHelpers asks others to ask: the one that reached the target last, and some at random.
func (m *Machine) askHelpers(now clock.Micros, p *probe, target *member) {
	var chosen []string
	choose := func(e *member) {
		if e == nil {
			return
		}
		chosen = append(chosen, e.Name)
		msg := m.message(IndirectPing, e)
		msg.Number, msg.Target, msg.TargetAddress = p.number, target.Name, target.Address
		m.act(Send{To: e.Name, Address: e.Address, Message: msg})
		m.asks = append(m.asks, ask{e.Name, p.number, now, false})
	}
	if e := m.find(target.reached); e != nil && e.State == Alive {
		choose(e)
	}
	for len(chosen) < helpers {
		e := m.draw(func(e *member) bool {
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
func (m *Machine) sample(missed bool) {
	x := 0
	if missed {
		x = 1000
	}
	m.health += (x - m.health) / healthSamples
}
