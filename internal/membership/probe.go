package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// This file is the failure detector: direct probes, and indirect ones by way of helpers.

// probesPerInterval is how many others a member probes in an interval. A death is first noticed by whoever probes next, so
// this sets how soon that is; its price is so many pings and acks.
const probesPerInterval = 3

// indirectProbeHelpers is how many others are asked to probe a member that does not answer directly.
const indirectProbeHelpers = 3

// The parts of an interval, as its divisors: a direct ack is waited for half of it, and helpers the other half; a helper
// sends its nack after a quarter, so that it arrives in time.
const (
	directAckDivisor = 2
	nackDivisor      = 4
)

// maxLocalHealth bounds by how much an unhealthy member stretches its timeouts. localHealthSamples is over how many answers
// of helpers its health is averaged.
const (
	maxLocalHealth     = 9
	localHealthSamples = 16
)

// pathLostAfter is how many probes in a row must fail directly, and be answered by way of helpers, before a path counts as
// lost. Local health multiplies it.
const pathLostAfter = 3

// probe is one probe under way.
type probe struct {
	number     uint32
	target     string
	generation uint64 // of the target
	sentAt     clock.Micros
	nextStep   clock.Micros // when to go on with helpers, or to fail
	direct     bool         // only the first ping is out, and no helper is asked yet
}

// relayedPing is one ping that this member sends as a helper.
type relayedPing struct {
	number        uint32
	target        string
	origin        string // who asked for it
	originAddress netip.AddrPort
	originNumber  uint32 // of the origin's probe
	sentAt        clock.Micros
	nackSent      bool
}

// helperRequest is one request to a helper. Its answer, ack or nack, shows whether this member itself is healthy.
type helperRequest struct {
	helper   string
	number   uint32
	sentAt   clock.Micros
	answered bool
}

// startProbe probes the next member: every other time one whose path may be lost, else in a random order in which everybody
// has its turn before anybody comes again.
func (m *Machine) startProbe(now clock.Micros) {
	name := ""
	m.lastNumber++
	if len(m.reprobe) > 0 && m.lastNumber%2 == 0 {
		name, m.reprobe = m.reprobe[0], m.reprobe[1:]
	}
	for range 2 * (len(m.probeOrder) + 1) {
		if target := m.find(name); target != nil && !target.State.Ended() && !m.isProbed(name) {
			m.probes = append(m.probes, probe{
				number: m.lastNumber, target: name, generation: target.Generation, sentAt: now,
				nextStep: now + m.cfg.Interval/directAckDivisor, direct: true,
			})
			m.ping(target, m.lastNumber, "", 0)
			return
		}
		if m.probeTurn >= len(m.probeOrder) {
			m.shuffleProbeOrder()
		}
		if len(m.probeOrder) == 0 {
			return
		}
		name = m.probeOrder[m.probeTurn]
		m.probeTurn++
	}
}

// isProbed tells whether a probe of a member is under way.
func (m *Machine) isProbed(name string) bool {
	return slices.ContainsFunc(m.probes, func(p probe) bool { return p.target == name })
}

// scheduleProbe gives a new member a random place in the rest of the order, so that it need not wait until all others have
// had their turn.
func (m *Machine) scheduleProbe(name string) {
	at := 0
	if m.cfg.Seed != 0 {
		at = m.random(len(m.probeOrder) - m.probeTurn + 1)
	}
	m.probeOrder = slices.Insert(m.probeOrder, min(m.probeTurn+at, len(m.probeOrder)), name)
}

// shuffleProbeOrder makes a new order of all members that have not ended.
func (m *Machine) shuffleProbeOrder() {
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

// advanceProbes does what is due for all probes, this member's own and those it makes for others. An unhealthy member probes
// longer and more often before it accuses anybody.
func (m *Machine) advanceProbes(now clock.Micros) {
	m.sampleHelpers(now)
	m.sendNacks(now)
	failed := m.removeFailedProbes(now)
	m.continueProbes(now)
	if now < m.stallGraceUntil {
		return
	}
	for _, p := range failed {
		target := m.find(p.target)
		m.suspect(now, target, target.Incarnation, m.self.Name, p.sentAt)
	}
}

// sampleHelpers measures local health by the requests to helpers whose time is over.
func (m *Machine) sampleHelpers(now clock.Micros) {
	wait := m.cfg.Interval / directAckDivisor
	for _, r := range m.helperRequests {
		if now >= r.sentAt+wait {
			m.sampleHelper(!r.answered)
		}
	}
	m.helperRequests = slices.DeleteFunc(m.helperRequests, func(r helperRequest) bool { return now >= r.sentAt+wait })
}

// sampleHelper notes whether a helper answered. Helpers are members that nobody suspects, so where many of them are silent
// it is this member, or its network, that is unhealthy.
func (m *Machine) sampleHelper(missed bool) {
	sample := 0
	if missed {
		sample = 1000
	}
	m.helperMisses += (sample - m.helperMisses) / localHealthSamples
}

// sendNacks tells the origins of relayed pings that the target has not answered yet, and gives up those of long ago.
func (m *Machine) sendNacks(now clock.Micros) {
	t := m.cfg.Interval
	for i := range m.relayedPings {
		if r := &m.relayedPings[i]; !r.nackSent && now >= r.sentAt+t/nackDivisor {
			r.nackSent = true
			msg := m.newMessage(Nack, m.find(r.origin))
			msg.To, msg.Number, msg.Target = r.origin, r.originNumber, r.target
			m.emit(Send{To: r.origin, Address: r.originAddress, Message: msg})
		}
	}
	m.relayedPings = slices.DeleteFunc(m.relayedPings, func(r relayedPing) bool { return now >= r.sentAt+maxLocalHealth*t })
}

// removeFailedProbes takes out the probes whose time is over and returns them. Those of targets that have ended meanwhile
// are dropped.
func (m *Machine) removeFailedProbes(now clock.Micros) (failed []probe) {
	timeout := m.cfg.Interval * clock.Micros(m.LocalHealth())
	m.probes = slices.DeleteFunc(m.probes, func(p probe) bool {
		target := m.find(p.target)
		if target == nil || target.Generation != p.generation || target.State.Ended() {
			return true
		}
		if now >= p.nextStep && now >= p.sentAt+timeout {
			failed = append(failed, p)
			return true
		}
		return false
	})
	return failed
}

// continueProbes asks helpers for the targets that have not answered directly. Where local health allows more time the
// target itself is pinged again, too.
func (m *Machine) continueProbes(now clock.Micros) {
	for i := range m.probes {
		p := &m.probes[i]
		if now < p.nextStep {
			continue
		}
		target := m.find(p.target)
		if !p.direct {
			m.ping(target, p.number, "", 0)
		}
		p.direct = false
		p.nextStep = now + m.cfg.Interval/directAckDivisor
		m.requestIndirectProbes(now, p, target)
	}
}

// requestIndirectProbes asks helpers to probe a target: the one that reached it last, and some at random.
func (m *Machine) requestIndirectProbes(now clock.Micros, p *probe, target *member) {
	var chosen []string
	request := func(helper *member) {
		chosen = append(chosen, helper.Name)
		msg := m.newMessage(IndirectPing, helper)
		msg.Number, msg.Target, msg.TargetAddress = p.number, target.Name, target.Address
		m.emit(Send{To: helper.Name, Address: helper.Address, Message: msg})
		m.helperRequests = append(m.helperRequests, helperRequest{helper.Name, p.number, now, false})
	}
	if helper := m.find(target.lastHelper); helper != nil && helper.State == Alive {
		request(helper)
	}
	for len(chosen) < indirectProbeHelpers {
		helper := m.pickAlive(func(e *member) bool {
			return e.State == Alive && e.Name != target.Name && !slices.Contains(chosen, e.Name)
		})
		if helper == nil {
			return
		}
		request(helper)
	}
}
