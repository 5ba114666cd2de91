// Package settings reads the settings that a gateway is given, for the simulator's wire and for the configuration
// file alike, and the load reports whose fields they name. It decides nothing.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// Facts is what a codec keeps of an instance's settings, beside those meant for the module.
type InForce struct {
	Settings      policy.Settings
	ClassIndex    map[string]int // name to index
	ClassNames    []string       // of the classes, by index
	ReportFields  []string       // of load reports, in order
	PositionEpoch clock.Micros   // where the simulator's positions are counted from
	Keepalive     clock.Micros   // servers close connections idle for so long
	Warnings      []*KeyError    // what was read in its strictest sense for want of a better one
}

// Live is the settings in force; they may change while the gateway runs.
type Live struct{ atomic.Pointer[InForce] }

// NewLive begins with f.
func NewLive(f *InForce) *Live {
	l := &Live{}
	l.Store(f)
	return l
}

// KeyError names the setting that is at fault.
type KeyError struct{ Key, Text string }

func (e *KeyError) Error() string { return e.Key + ": " + e.Text }

// HasSession tells whether requests of a class carry a session: writes and session reads do.
func (f *InForce) HasSession(class int) bool {
	need := f.Settings.Classes[class].Need
	return need == policy.NeedWrite || need == policy.NeedSession
}

// Writes tells whether requests of a class change data.
func (f *InForce) IsWrite(class int) bool { return f.Settings.Classes[class].Need == policy.NeedWrite }

// number is a wire number kept as its text until its unit is known.
type number string

// UnmarshalJSON keeps whatever stands there; the scaler finds out whether it is a number, and knows its key.
func (n *number) UnmarshalJSON(raw []byte) error {
	if string(raw) != "null" {
		*n = number(raw)
	}
	return nil
}

type wireSettings struct {
	Classes []struct {
		Name       string `json:"name"`
		Aim        number `json:"aim_ms"`
		Deadline   number `json:"give_up_ms"`
		Effect     string `json:"effect"`
		Window     number `json:"key_ttl_ms"`
		Worth      number `json:"points"`
		LateWorth  number `json:"late_worth"`
		AimStretch number `json:"aim_stretch"`
	} `json:"classes"`
	Tenants   []wireTenant `json:"realms"`
	Balancers int          `json:"balancers"`
	Ordinal   int          `json:"ordinal"`
	Tick      number       `json:"granularity_ms"`
	Zone      string       `json:"locality"`
	Mode      string       `json:"membership_mode"`
	Family    struct {
		Checks    string   `json:"checks"`
		Bounds    []number `json:"oldest_data_ms"`
		Freshness []string `json:"freshness"`
		Stamped   bool     `json:"answers_stamped"`
		Marks     string   `json:"write_marks"`
		Wait      number   `json:"wait_ms"`
		Zero      number   `json:"counted_from_ms"`
	} `json:"family_info"`
	Limits struct {
		Cancelling     bool   `json:"cancelling"`
		ConnectTimeout number `json:"connect_timeout_ms"`
		Keepalive      number `json:"keepalive_ms"`
		MaxRetryAfter  number `json:"max_retry_after_ms"`
		MayTell        bool   `json:"may_tell"`
		MostTries      int    `json:"most_tries"`
		Probing        bool   `json:"probing"`
		RetryAfter     bool   `json:"retry_after"`
		SecondCopies   bool   `json:"second_copies"`
	} `json:"policy_limits"`
	Costs struct {
		CrossZone number `json:"cross_zone"`
	} `json:"costs"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Rules struct {
		AskWithin       number `json:"ask_within_ms"`
		ColdFrom        number `json:"cold_from"`
		Fall            number `json:"fall_ms"`
		GraceToAnswer   number `json:"grace_to_answer_ms"`
		OverloadFactor  number `json:"overload_factor"`
		Ramp            number `json:"ramp_time_ms"`
		StopSending     number `json:"stop_sending_within_ms"`
		DroppedStayOpen bool   `json:"dropped_stay_open"`
	} `json:"rules"`
}

// wordKeyed is the effect of a class whose repeats are dropped by a key, within a window.
const effectKeyed = "guarded"

var effects = map[string]policy.Effect{
	"free": policy.EffectIdempotent, "single_shot": policy.EffectNonIdempotent,
	effectKeyed: policy.EffectNonIdempotent, // repeats dropped by a key: read in the strictest sense, never repeated
}

var needs = map[string]policy.Need{
	"eventual": policy.NeedAny, "lag_bound": policy.NeedBounded, "causal": policy.NeedSession,
	"strong": policy.NeedFresh, "mutate": policy.NeedWrite,
}

// modes tells whether the member list has to be asked for.
var modes = map[string]bool{"subscribe": true, "automatic": false}

var checks = map[string]policy.FreshnessCheck{
	"none": policy.FreshnessCheckNone, "bounce": policy.FreshnessCheckReject, "await": policy.FreshnessCheckWait,
}

// Parse reads an instance's settings. Unknown keys are skipped. Unknown words take the strictest meaning, and are noted
// as doubts: an effect is unsafe, a check none, and a need the primary.
func Parse(raw []byte) (*InForce, error) {
	var w wireSettings
	if err := json.Unmarshal(raw, &w); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) && kind.Field != "" {
			return nil, &KeyError{kind.Field, "a " + kind.Value + " is not of the type expected"}
		}
		return nil, fmt.Errorf("settings cannot be read: %w", err)
	}
	f := &InForce{ClassIndex: map[string]int{}, ReportFields: w.Report.Fields}
	p := scaler{warnings: &f.Warnings}
	s, l, r := &f.Settings, w.Limits, w.Rules
	for i, c := range w.Classes {
		key := fmt.Sprintf("classes[%d].", i)
		k := policy.Class{
			Name: c.Name, Need: policy.NeedWrite,
			Effect:           lookupWord(&p, key+"effect", effects, c.Effect),
			LatencyObjective: p.time(key+"aim_ms", c.Aim), Deadline: p.time(key+"give_up_ms", c.Deadline),
			PriorityWeight:   p.thousandths(key+"points", c.Worth),
			LateWeight:       p.thousandths(key+"late_worth", c.LateWorth),
			ObjectiveStretch: p.thousandths(key+"aim_stretch", c.AimStretch),
		}
		if i < len(w.Family.Freshness) {
			if need, ok := needs[w.Family.Freshness[i]]; ok {
				k.Need = need
			} else {
				p.warn(fmt.Sprintf("family_info.freshness[%d]", i), "%.40q is not known", w.Family.Freshness[i])
			}
		}
		if i < len(w.Family.Bounds) {
			k.StalenessBound = p.time(fmt.Sprintf("family_info.oldest_data_ms[%d]", i), w.Family.Bounds[i])
		}
		p.checkName(key+"name", c.Name, f.ClassIndex, i)
		if c.Effect == "" {
			p.warn(key+"effect", "missing")
		}
		if k.Deadline == 0 {
			p.warn(key+"give_up_ms", "missing or 0: no request could be answered")
		}
		if window := p.time(key+"key_ttl_ms", c.Window); c.Effect == effectKeyed && window == 0 {
			p.warn(key+"key_ttl_ms", "missing or 0: no repeat could be told")
		}
		f.ClassNames = append(f.ClassNames, c.Name)
		s.Classes = append(s.Classes, k)
	}
	for _, list := range []struct {
		key string
		n   int
	}{
		{"family_info.freshness", len(w.Family.Freshness)}, {"family_info.oldest_data_ms", len(w.Family.Bounds)},
	} {
		if list.n != 0 && list.n != len(w.Classes) {
			p.warn(list.key, "has %d entries for %d classes", list.n, len(w.Classes))
		}
	}
	checkTenants(&p, w.Tenants)
	f.PositionEpoch = p.time("family_info.counted_from_ms", w.Family.Zero)
	f.Keepalive = p.time("policy_limits.keepalive_ms", l.Keepalive)
	s.Gateways, s.Ordinal, s.Zone = w.Balancers, w.Ordinal, w.Zone
	s.Tick = p.time("granularity_ms", w.Tick)
	s.FreshnessCheck = lookupWord(&p, "family_info.checks", checks, w.Family.Checks)
	s.FreshnessCheckWait = p.time("family_info.wait_ms", w.Family.Wait)
	s.SessionPositionsCarried, s.AnswersCarryPosition = w.Family.Marks == "brought", w.Family.Stamped
	s.ListSubscribed = lookupWord(&p, "membership_mode", modes, w.Mode)
	s.CanHealthCheck, s.CanCancel = l.Probing, l.Cancelling
	s.CanMessagePeers, s.CanHedge, s.CanSendRetryAfter = l.MayTell, l.SecondCopies, l.RetryAfter
	s.MaxRetryAfter, s.MaxAttempts = p.time("policy_limits.max_retry_after_ms", l.MaxRetryAfter), l.MostTries
	s.ConnectTimeout = p.time("policy_limits.connect_timeout_ms", l.ConnectTimeout)
	s.AnswerSlack = p.time("rules.grace_to_answer_ms", r.GraceToAnswer)
	s.DrainGrace, s.RemovedStayUsable = p.time("rules.stop_sending_within_ms", r.StopSending), r.DroppedStayOpen
	s.SubscribeWithin = p.time("rules.ask_within_ms", r.AskWithin)
	s.SlowStartMinWeight = p.thousandths("rules.cold_from", r.ColdFrom)
	s.SlowStartWindow = p.time("rules.ramp_time_ms", r.Ramp)
	s.OverloadFactor = p.thousandths("rules.overload_factor", r.OverloadFactor)
	if s.CrossZoneCost = p.thousandths("costs.cross_zone", w.Costs.CrossZone); s.CrossZoneCost > 1000 {
		p.warn("costs.cross_zone", "%s is more than one point a request", w.Costs.CrossZone)
	}
	s.OverloadWindow = p.time("rules.fall_ms", r.Fall)
	if p.err != nil {
		return nil, p.err
	}
	return f, nil
}

// shareRounding is how much more than the whole the shares of the tenants may add up to, in thousandths: they are written
// rounded.
const quotaRounding = 5

// wireTenant is one of those whom requests belong to.
type wireTenant struct {
	Name  string `json:"name"`
	Share number `json:"portion"`
}

// checkTenants notes names that are missing or stand twice, and shares that are none, or more than the whole together.
func checkTenants(p *scaler, tenants []wireTenant) {
	names, total := map[string]int{}, int64(0)
	for i, t := range tenants {
		key := fmt.Sprintf("realms[%d].", i)
		p.checkName(key+"name", t.Name, names, i)
		share := p.thousandths(key+"portion", t.Share)
		if t.Share != "" && share == 0 {
			p.warn(key+"portion", "%s is no share", string(t.Share))
		}
		if total += share; share > 1000 || total > 1000+quotaRounding {
			p.warn(key+"portion", "%s brings the shares over the whole", string(t.Share))
		}
	}
}

// word looks a word up; one that is missing or not known has the zero value, the strictest.
func lookupWord[T any](p *scaler, key string, table map[string]T, name string) T {
	v, ok := table[name]
	if !ok && name != "" {
		p.warn(key, "%.40q is not known", name)
	}
	return v
}

// scaler turns wire numbers into whole units; an absent one is 0.
type scaler struct {
	err      error
	warnings *[]*KeyError
}

func (p *scaler) warn(key, format string, a ...any) {
	*p.warnings = append(*p.warnings, &KeyError{key, fmt.Sprintf(format, a...)})
}

// checkName notes a name that is missing or stands twice, and keeps it with its index.
func (p *scaler) checkName(key, name string, names map[string]int, i int) {
	if _, twice := names[name]; twice {
		p.warn(key, "%.40q stands twice", name)
	}
	if name == "" {
		p.warn(key, "missing")
	}
	names[name] = i
}

func (p *scaler) thousandths(key string, n number) int64 {
	if n == "" {
		return 0
	}
	v, err := ParseScaled(string(n), 3)
	if err != nil && p.err == nil {
		p.err = &KeyError{key, fmt.Sprintf("%.30q is %v", string(n), err)}
	}
	if v < 0 {
		p.warn(key, "%s is below 0", string(n))
	}
	return v
}

// time reads milliseconds; a thousandth of one is a microsecond.
func (p *scaler) time(key string, n number) clock.Micros {
	return clock.Micros(p.thousandths(key, n))
}

// ParseScaled reads a decimal number as a whole number of 10^-digits, rounded down.
func ParseScaled(s string, digits int) (int64, error) {
	if strings.ContainsAny(s, "eE") {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || f > 1e15 || f < -1e15 {
			return 0, errors.New("not a number within range")
		}
		s = strconv.FormatFloat(f, 'f', digits, 64)
	}
	neg := strings.HasPrefix(s, "-")
	whole, frac, _ := strings.Cut(strings.TrimPrefix(s, "-"), ".")
	v, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || v < 0 || v > 1e13 {
		return 0, errors.New("not a number within range")
	}
	inexact := false
	for d := 0; d < digits || d < len(frac); d++ {
		c := byte('0')
		if d < len(frac) {
			if c = frac[d]; c < '0' || c > '9' {
				return 0, errors.New("not a number")
			}
		}
		if d < digits {
			v = v*10 + int64(c-'0')
		} else if c != '0' {
			inexact = true
		}
	}
	if neg {
		if v = -v; inexact {
			v--
		}
	}
	return v, nil
}

// AddReport puts one value of a load report, by its field's name, into rep. The position's seconds are counted
// from zero. Fields of unknown names are passed over.
func SetReportField(rep *policy.LoadReport, field, value string, zero clock.Micros) error {
	digits := 3
	switch field {
	case "x0":
		digits = 6
	case "x1":
		digits = 0
	case "pending", "cpu_share":
	default:
		return nil
	}
	v, err := ParseScaled(value, digits)
	if err != nil {
		return err
	}
	switch field {
	case "x0":
		rep.Position, rep.HasPosition = zero+clock.Micros(v), true
	case "x1":
		if rep.Role = policy.RoleReplica; v == 1 {
			rep.Role = policy.RolePrimary
		}
	case "pending":
		rep.Queue, rep.HasQueue = v, true
	case "cpu_share":
		rep.Util, rep.HasUtil = v, true
	}
	return nil
}
