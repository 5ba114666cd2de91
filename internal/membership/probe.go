package membership

import (
	"net/netip"
	"slices"

	"marblespan/internal/clock"
)

// This file contains the failure detector: direct probes, and indirect probes through helpers.

// probesPerInterval is the number of members that a member probes per interval. A dead member is detected by the next member
// that probes it, so a higher value detects deaths sooner but costs proportionally more pings and acks.
const probesPerInterval = 3

// indirectProbeHelpers is the number of helpers that are asked to probe a member that does not answer directly.
const indirectProbeHelpers = 3

// The divisors of the interval. A probe waits half an interval for the direct ack, and the other half for answers from helpers. A
// helper sends its nack after a quarter of an interval, so that the nack arrives in time.
const (
	directAckDivisor = 2
	nackDivisor      = 4
)

// maxLocalHealth is the largest factor by which an unhealthy member extends its timeouts. The factor is computed from a moving
// average of the unanswered requests to helpers; localHealthSamples is the length of that average, in requests.
const (
	maxLocalHealth     = 9
	localHealthSamples = 16
)

// pathLostAfter is the number of consecutive probes that must be answered only through a helper, and not directly, before the
// path counts as lost. It is multiplied by the local health.
const pathLostAfter = 3

// probe is one probe in progress.
type probe struct {
	number     uint32
	target     string
	generation uint64 // generation of the target
	sentAt     clock.Micros
	nextStep   clock.Micros // when this member asks helpers, possibly again, or gives up the probe
	direct     bool         // only the first direct ping was sent; no helper has been asked yet
}

// relayedPing is a ping that this member sent as a helper.
type relayedPing struct {
	number        uint32
	target        string
	origin        string // the member that asked for the ping
	originAddress netip.AddrPort
	originNumber  uint32 // number of the origin's probe
	sentAt        clock.Micros
	nackSent      bool
}

// helperRequest is a request to a helper. A missing answer, whether ack or nack, indicates that this member itself is unhealthy.
type helperRequest struct {
	helper   string
	number   uint32
	sentAt   clock.Micros
	answered bool
}

// startProbe probes the next member. Every second probe goes to a member whose path may be lost, if there is such a member; all
// other probes go through the members in a random order, which is shuffled again when every member has been probed.
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

// isProbed reports whether a probe of the member is in progress.
func (m *Machine) isProbed(name string) bool {
	return slices.ContainsFunc(m.probes, func(p probe) bool { return p.target == name })
}

// scheduleProbe inserts a new member at a random position among the members that have still to be probed in this round, so that
// the new member does not have to wait until all others have been probed.
func (m *Machine) scheduleProbe(name string) {
	at := 0
	if m.cfg.Seed != 0 {
		at = m.random(len(m.probeOrder) - m.probeTurn + 1)
	}
	m.probeOrder = slices.Insert(m.probeOrder, min(m.probeTurn+at, len(m.probeOrder)), name)
}

// shuffleProbeOrder sets a new random order of all members that have not ended.
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

// advanceProbes does all work that is due for this member's own probes and for the pings that it relays for others, and
// suspects the targets of failed probes. An unhealthy member waits longer and sends more pings before it suspects a target.
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

// sampleHelpers updates the local health from each request to a helper once the time for an answer to the request is over.
func (m *Machine) sampleHelpers(now clock.Micros) {
	wait := m.cfg.Interval / directAckDivisor
	for _, r := range m.helperRequests {
		if now >= r.sentAt+wait {
			m.sampleHelper(!r.answered)
		}
	}
	m.helperRequests = slices.DeleteFunc(m.helperRequests, func(r helperRequest) bool { return now >= r.sentAt+wait })
}

// sampleHelper adds one request to the moving average of unanswered requests. Helpers are members that are not suspected, so
// if many of them do not answer, the cause is this member or its network.
func (m *Machine) sampleHelper(missed bool) {
	sample := 0
	if missed {
		sample = 1000
	}
	m.helperMisses += (sample - m.helperMisses) / localHealthSamples
}

// sendNacks sends a Nack to the origin of each relayed ping whose target has not answered in time, and discards relayed pings
// that are older than maxLocalHealth intervals.
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

// removeFailedProbes removes the probes that have timed out and returns them. It also removes, but does not return, probes
// whose target has ended or started a new generation since the probe began.
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

// continueProbes asks helpers to probe the targets that have not answered in time. If this member's local health has extended
// the timeout, so that helpers are asked more than once, each further round also pings the target directly again.
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

// requestIndirectProbes asks helpers to probe a target: the helper that reached the target most recently, and random
// alive members.
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
