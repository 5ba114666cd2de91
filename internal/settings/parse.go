package settings

import (
	"encoding/json"
	"errors"
	"fmt"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// Parse parses a gateway's settings from JSON. Unknown keys are ignored. A missing or unknown word (a value from a fixed set,
// such as an effect) gets the strictest meaning: the effect is non-idempotent, the servers make no freshness check, and
// requests need the primary. Each unknown word and each missing effect adds a warning to Snapshot.Warnings.
//
// If a single key is at fault, the error is a *KeyError.
func Parse(raw []byte) (*Snapshot, error) {
	var wire wireSettings
	if err := json.Unmarshal(raw, &wire); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) && kind.Field != "" {
			return nil, &KeyError{kind.Field, "a " + kind.Value + " is not of the type expected"}
		}
		return nil, fmt.Errorf("settings cannot be read: %w", err)
	}
	// If several keys are invalid, the error is about the first of them in the order of the calls below.
	p := parser{out: &Snapshot{ClassIndex: map[string]int{}, LoadReportFields: wire.LoadReport.Fields}}
	p.readClasses(wire.Classes, &wire.Replication)
	p.checkTenants(wire.Tenants)
	p.readDeployment(&wire)
	p.readLimits(&wire.Limits)
	p.readRules(&wire.Rules, &wire.Costs)
	if p.err != nil {
		return nil, p.err
	}
	return p.out, nil
}

// parser fills in a Snapshot. It continues after an error; err holds the first error.
type parser struct {
	out *Snapshot
	err error
}

// warn adds a warning that a key's value is missing, unknown or out of range.
func (p *parser) warn(key, format string, args ...any) {
	p.out.Warnings = append(p.out.Warnings, &KeyError{key, fmt.Sprintf(format, args...)})
}

// readClasses reads the classes. replication holds two lists with an entry for each class: how current the data for the class
// must be, and its staleness bound.
func (p *parser) readClasses(classes []wireClass, replication *wireReplication) {
	for i, class := range classes {
		p.out.ClassNames = append(p.out.ClassNames, class.Name)
		p.out.Settings.Classes = append(p.out.Settings.Classes, p.readClass(i, &class, replication))
	}
	p.checkLength("family_info.freshness", len(replication.Needs), len(classes))
	p.checkLength("family_info.oldest_data_ms", len(replication.StalenessBounds), len(classes))
}

// readClass reads the class at index i.
func (p *parser) readClass(i int, wire *wireClass, replication *wireReplication) policy.Class {
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
	if i < len(replication.Needs) {
		if need, ok := needs[replication.Needs[i]]; ok {
			class.Need = need
		} else {
			p.warn(fmt.Sprintf("family_info.freshness[%d]", i), "unknown value %.40q", replication.Needs[i])
		}
	}
	if i < len(replication.StalenessBounds) {
		class.StalenessBound = p.micros(fmt.Sprintf("family_info.oldest_data_ms[%d]", i), replication.StalenessBounds[i])
	}
	p.checkName(key+"name", wire.Name, p.out.ClassIndex, i)
	if wire.Effect == "" {
		p.warn(key+"effect", "missing")
	}
	if class.Deadline == 0 {
		p.warn(key+"give_up_ms", "missing or 0: no request could be answered in time")
	}
	if ttl := p.micros(key+"key_ttl_ms", wire.IdempotencyKeyTTL); wire.Effect == effectIdempotencyKey && ttl == 0 {
		p.warn(key+"key_ttl_ms", "missing or 0: servers could not recognize repeated requests")
	}
	return class
}

// checkLength warns if a list does not have one entry for each class. An empty list counts as absent.
func (p *parser) checkLength(key string, entries, classes int) {
	if entries != 0 && entries != classes {
		p.warn(key, "has %d entries for %d classes", entries, classes)
	}
}

// quotaRounding is how far the sum of all quotas, in thousandths, may exceed 1000. The quotas in the settings are rounded, so
// their sum can be slightly more than 1.
const quotaRounding = 5

// checkTenants warns about tenant names that are missing or duplicated, quotas of 0, and quotas whose sum is more than 1.
func (p *parser) checkTenants(tenants []wireTenant) {
	names, total := map[string]int{}, int64(0)
	for i, tenant := range tenants {
		key := fmt.Sprintf("realms[%d].", i)
		p.checkName(key+"name", tenant.Name, names, i)
		quota := p.thousandths(key+"portion", tenant.Quota)
		if tenant.Quota != "" && quota == 0 {
			p.warn(key+"portion", "%s is less than the smallest quota, 0.001", string(tenant.Quota))
		}
		if total += quota; quota > 1000 || total > 1000+quotaRounding {
			p.warn(key+"portion", "with %s, the sum of the quotas is more than 1", string(tenant.Quota))
		}
	}
}

// readDeployment reads the settings that describe the gateway's place in the deployment and the database servers.
func (p *parser) readDeployment(wire *wireSettings) {
	out, s, replication := p.out, &p.out.Settings, &wire.Replication
	out.PositionEpoch = p.micros("family_info.counted_from_ms", replication.PositionEpoch)
	out.Keepalive = p.micros("policy_limits.keepalive_ms", wire.Limits.Keepalive)
	s.Gateways, s.Ordinal, s.Zone = wire.Gateways, wire.Ordinal, wire.Zone
	s.Tick = p.micros("granularity_ms", wire.Tick)
	s.FreshnessCheck = lookupEnum(p, "family_info.checks", freshnessChecks, replication.FreshnessCheck)
	s.FreshnessCheckWait = p.micros("family_info.wait_ms", replication.FreshnessCheckWait)
	s.SessionPositionsCarried = replication.SessionPositions == positionsCarried
	s.AnswersCarryPosition = replication.AnswersCarryPosition
	s.ListSubscribed = lookupEnum(p, "membership_mode", membershipModes, wire.MembershipMode)
}

// readLimits reads which operations the gateway can and may use, and their limits.
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

// readRules reads the rules for using servers, and the costs.
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
		p.warn("costs.cross_zone", "%s is more than one point per request", costs.CrossZone)
	}
	s.OverloadWindow = p.micros("rules.fall_ms", rules.OverloadWindow)
}

// lookupEnum looks up a word in a table. A missing or unknown word yields the zero value, which is the strictest; an unknown
// word also adds a warning.
func lookupEnum[T any](p *parser, key string, table map[string]T, text string) T {
	value, ok := table[text]
	if !ok && text != "" {
		p.warn(key, "unknown value %.40q", text)
	}
	return value
}

// checkName warns about a name that is missing or duplicated, and records the name with its index i.
func (p *parser) checkName(key, name string, names map[string]int, i int) {
	if _, twice := names[name]; twice {
		p.warn(key, "duplicate name %.40q", name)
	}
	if name == "" {
		p.warn(key, "missing")
	}
	names[name] = i
}

// thousandths parses a number as a whole number of thousandths. An absent number is 0; a negative number adds a warning.
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

// micros parses a number of milliseconds and returns it in microseconds, which are thousandths of a millisecond.
func (p *parser) micros(key string, n wireNumber) clock.Micros {
	return clock.Micros(p.thousandths(key, n))
}
