package settings

import (
	"encoding/json"
	"errors"
	"fmt"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// Parse reads a gateway's settings from JSON. Unknown keys are skipped. A word that is missing or unknown takes its strictest
// meaning and is noted in Warnings: an effect is non-idempotent, a freshness check none, and a need the primary.
//
// Errors are a *KeyError where one key is at fault.
func Parse(raw []byte) (*Snapshot, error) {
	var wire wireSettings
	if err := json.Unmarshal(raw, &wire); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) && kind.Field != "" {
			return nil, &KeyError{kind.Field, "a " + kind.Value + " is not of the type expected"}
		}
		return nil, fmt.Errorf("settings cannot be read: %w", err)
	}
	// Where several keys are at fault, the first in this order is reported.
	p := parser{out: &Snapshot{ClassIndex: map[string]int{}, LoadReportFields: wire.LoadReport.Fields}}
	p.readClasses(wire.Classes, &wire.Family)
	p.checkTenants(wire.Tenants)
	p.readDeployment(&wire)
	p.readLimits(&wire.Limits)
	p.readRules(&wire.Rules, &wire.Costs)
	if p.err != nil {
		return nil, p.err
	}
	return p.out, nil
}

// parser fills in an InForce. It remembers the first error, and reads on.
type parser struct {
	out *Snapshot
	err error
}

// warn notes that a key was missing or not understood.
func (p *parser) warn(key, format string, args ...any) {
	p.out.Warnings = append(p.out.Warnings, &KeyError{key, fmt.Sprintf(format, args...)})
}

// readClasses reads the classes and, from the lists by class in family, what data each needs.
func (p *parser) readClasses(classes []wireClass, family *wireFamily) {
	for i, class := range classes {
		p.out.ClassNames = append(p.out.ClassNames, class.Name)
		p.out.Settings.Classes = append(p.out.Settings.Classes, p.readClass(i, &class, family))
	}
	p.checkLength("family_info.freshness", len(family.Needs), len(classes))
	p.checkLength("family_info.oldest_data_ms", len(family.StalenessBounds), len(classes))
}

// readClass reads the class at an index.
func (p *parser) readClass(i int, wire *wireClass, family *wireFamily) policy.Class {
	key := fmt.Sprintf("classes[%d].", i)
	class := policy.Class{
		Name:             wire.Name,
		Need:             policy.NeedWrite,
		Effect:           lookupEnum(p, key+"effect", effects, wire.Effect),
		LatencyObjective: p.micros(key+"aim_ms", wire.LatencyObjective),
		Deadline:         p.micros(key+"give_up_ms", wire.Deadline),
		PriorityWeight:   p.thousandths(key+"points", wire.PriorityWeight),
		LateWeight:       p.thousandths(key+"late_worth", wire.LateWeight),
		ObjectiveStretch: p.thousandths(key+"aim_stretch", wire.ObjectiveStretch),
	}
	if i < len(family.Needs) {
		if need, ok := needs[family.Needs[i]]; ok {
			class.Need = need
		} else {
			p.warn(fmt.Sprintf("family_info.freshness[%d]", i), "%.40q is not known", family.Needs[i])
		}
	}
	if i < len(family.StalenessBounds) {
		class.StalenessBound = p.micros(fmt.Sprintf("family_info.oldest_data_ms[%d]", i), family.StalenessBounds[i])
	}
	p.checkName(key+"name", wire.Name, p.out.ClassIndex, i)
	if wire.Effect == "" {
		p.warn(key+"effect", "missing")
	}
	if class.Deadline == 0 {
		p.warn(key+"give_up_ms", "missing or 0: no request could be answered")
	}
	if ttl := p.micros(key+"key_ttl_ms", wire.IdempotencyKeyTTL); wire.Effect == effectIdempotencyKey && ttl == 0 {
		p.warn(key+"key_ttl_ms", "missing or 0: no repeat could be told")
	}
	return class
}

// checkLength warns of a list by class that has not one entry for each class. An empty list is none.
func (p *parser) checkLength(key string, entries, classes int) {
	if entries != 0 && entries != classes {
		p.warn(key, "has %d entries for %d classes", entries, classes)
	}
}

// quotaRounding is how far over 1000 the quotas of all tenants may add up, in thousandths, because they are written rounded.
const quotaRounding = 5

// checkTenants warns of names that are missing or stand twice, and of quotas that are 0, or over the whole together.
func (p *parser) checkTenants(tenants []wireTenant) {
	names, total := map[string]int{}, int64(0)
	for i, tenant := range tenants {
		key := fmt.Sprintf("realms[%d].", i)
		p.checkName(key+"name", tenant.Name, names, i)
		quota := p.thousandths(key+"portion", tenant.Quota)
		if tenant.Quota != "" && quota == 0 {
			p.warn(key+"portion", "%s is no share", string(tenant.Quota))
		}
		if total += quota; quota > 1000 || total > 1000+quotaRounding {
			p.warn(key+"portion", "%s brings the shares over the whole", string(tenant.Quota))
		}
	}
}

// readDeployment reads what describes the gateway's place and the database servers.
func (p *parser) readDeployment(wire *wireSettings) {
	out, s, family := p.out, &p.out.Settings, &wire.Family
	out.PositionEpoch = p.micros("family_info.counted_from_ms", family.PositionEpoch)
	out.Keepalive = p.micros("policy_limits.keepalive_ms", wire.Limits.Keepalive)
	s.Gateways, s.Ordinal, s.Zone = wire.Gateways, wire.Ordinal, wire.Zone
	s.Tick = p.micros("granularity_ms", wire.Tick)
	s.FreshnessCheck = lookupEnum(p, "family_info.checks", freshnessChecks, family.FreshnessCheck)
	s.FreshnessCheckWait = p.micros("family_info.wait_ms", family.FreshnessCheckWait)
	s.SessionPositionsCarried = family.SessionPositions == positionsCarried
	s.AnswersCarryPosition = family.AnswersCarryPosition
	s.ListSubscribed = lookupEnum(p, "membership_mode", membershipModes, wire.MembershipMode)
}

// readLimits reads what the gateway can and may do.
func (p *parser) readLimits(limits *wireLimits) {
	s := &p.out.Settings
	s.CanHealthCheck = limits.CanHealthCheck
	s.CanCancel = limits.CanCancel
	s.CanMessagePeers = limits.CanMessagePeers
	s.CanHedge = limits.CanHedge
	s.CanSendRetryAfter = limits.CanSendRetryAfter
	s.MaxRetryAfter = p.micros("policy_limits.max_retry_after_ms", limits.MaxRetryAfter)
	s.MaxAttempts = limits.MaxAttempts
	s.ConnectTimeout = p.micros("policy_limits.connect_timeout_ms", limits.ConnectTimeout)
}

// readRules reads the rules for the use of servers, and the costs.
func (p *parser) readRules(rules *wireRules, costs *wireCosts) {
	s := &p.out.Settings
	s.AnswerSlack = p.micros("rules.grace_to_answer_ms", rules.AnswerSlack)
	s.DrainGrace = p.micros("rules.stop_sending_within_ms", rules.DrainGrace)
	s.RemovedStayUsable = rules.RemovedStayUsable
	s.SubscribeWithin = p.micros("rules.ask_within_ms", rules.SubscribeWithin)
	s.SlowStartMinWeight = p.thousandths("rules.cold_from", rules.SlowStartMinWeight)
	s.SlowStartWindow = p.micros("rules.ramp_time_ms", rules.SlowStartWindow)
	s.OverloadFactor = p.thousandths("rules.overload_factor", rules.OverloadFactor)
	s.CrossZoneCost = p.thousandths("costs.cross_zone", costs.CrossZone)
	if s.CrossZoneCost > 1000 {
		p.warn("costs.cross_zone", "%s is more than one point a request", costs.CrossZone)
	}
	s.OverloadWindow = p.micros("rules.fall_ms", rules.OverloadWindow)
}

// lookupWord looks a word up in a table. One that is missing or unknown gets the zero value, which is the strictest; an
// unknown one is warned of.
func lookupEnum[T any](p *parser, key string, table map[string]T, text string) T {
	value, ok := table[text]
	if !ok && text != "" {
		p.warn(key, "%.40q is not known", text)
	}
	return value
}

// checkName warns of a name that is missing or stands twice, and keeps it with its index.
func (p *parser) checkName(key, name string, names map[string]int, i int) {
	if _, twice := names[name]; twice {
		p.warn(key, "%.40q stands twice", name)
	}
	if name == "" {
		p.warn(key, "missing")
	}
	names[name] = i
}

// thousandths reads a number as a whole number of thousandths; an absent one is 0, a negative one is warned of.
func (p *parser) thousandths(key string, n wireNumber) int64 {
	if n == "" {
		return 0
	}
	value, err := ParseScaled(string(n), 3)
	if err != nil && p.err == nil {
		p.err = &KeyError{key, fmt.Sprintf("%.30q is %v", string(n), err)}
	}
	if value < 0 {
		p.warn(key, "%s is below 0", string(n))
	}
	return value
}

// micros reads a number of milliseconds, of which a thousandth is a microsecond.
func (p *parser) micros(key string, n wireNumber) clock.Micros {
	return clock.Micros(p.thousandths(key, n))
}
