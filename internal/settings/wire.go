package settings

import "marblespan/internal/policy"

// wireSettings are the settings as the platform writes them. Its keys stand in the tags; the fields have the names that
// policy.Settings gives them.
type wireSettings struct {
	Classes        []wireClass    `json:"classes"`
	Tenants        []wireTenant   `json:"realms"`
	Gateways       int            `json:"balancers"`
	Ordinal        int            `json:"ordinal"`
	Tick           wireNumber     `json:"granularity_ms"`
	Zone           string         `json:"locality"`
	MembershipMode string         `json:"membership_mode"`
	Family         wireFamily     `json:"family_info"`
	Limits         wireLimits     `json:"policy_limits"`
	Costs          wireCosts      `json:"costs"`
	LoadReport     wireLoadReport `json:"report"`
	Rules          wireRules      `json:"rules"`
}

// wireClass is a class of requests. What data it needs stands in wireFamily.
type wireClass struct {
	Name              string     `json:"name"`
	LatencyObjective  wireNumber `json:"aim_ms"`
	Deadline          wireNumber `json:"give_up_ms"`
	Effect            string     `json:"effect"`
	IdempotencyKeyTTL wireNumber `json:"key_ttl_ms"`
	PriorityWeight    wireNumber `json:"points"`
	LateWeight        wireNumber `json:"late_worth"`
	ObjectiveStretch  wireNumber `json:"aim_stretch"`
}

// wireTenant is one of those whom requests belong to.
type wireTenant struct {
	Name  string     `json:"name"`
	Quota wireNumber `json:"portion"`
}

// wireFamily says how the database servers replicate and check freshness.
type wireFamily struct {
	FreshnessCheck       string       `json:"checks"`
	StalenessBounds      []wireNumber `json:"oldest_data_ms"` // by class
	Needs                []string     `json:"freshness"`      // by class
	AnswersCarryPosition bool         `json:"answers_stamped"`
	SessionPositions     string       `json:"write_marks"`
	FreshnessCheckWait   wireNumber   `json:"wait_ms"`
	PositionEpoch        wireNumber   `json:"counted_from_ms"`
}

// wireLimits say what a gateway can and may do.
type wireLimits struct {
	CanCancel         bool       `json:"cancelling"`
	ConnectTimeout    wireNumber `json:"connect_timeout_ms"`
	Keepalive         wireNumber `json:"keepalive_ms"`
	MaxRetryAfter     wireNumber `json:"max_retry_after_ms"`
	CanMessagePeers   bool       `json:"may_tell"`
	MaxAttempts       int        `json:"most_tries"`
	CanHealthCheck    bool       `json:"probing"`
	CanSendRetryAfter bool       `json:"retry_after"`
	CanHedge          bool       `json:"second_copies"`
}

// wireCosts are prices, in points of a request.
type wireCosts struct {
	CrossZone wireNumber `json:"cross_zone"`
}

// wireLoadReport describes load reports.
type wireLoadReport struct {
	Fields []string `json:"fields"`
}

// wireRules are the platform's rules for the use of servers.
type wireRules struct {
	SubscribeWithin    wireNumber `json:"ask_within_ms"`
	SlowStartMinWeight wireNumber `json:"cold_from"`
	OverloadWindow     wireNumber `json:"fall_ms"`
	AnswerSlack        wireNumber `json:"grace_to_answer_ms"`
	OverloadFactor     wireNumber `json:"overload_factor"`
	SlowStartWindow    wireNumber `json:"ramp_time_ms"`
	DrainGrace         wireNumber `json:"stop_sending_within_ms"`
	RemovedStayUsable  bool       `json:"dropped_stay_open"`
}

// wireNumber is a number kept as its text until its unit is known.
type wireNumber string

// UnmarshalJSON keeps whatever stands there. The reader finds out whether it is a number, and names its key if not.
func (n *wireNumber) UnmarshalJSON(raw []byte) error {
	if string(raw) != "null" {
		*n = wireNumber(raw)
	}
	return nil
}

// effectIdempotencyKey is the effect of a class whose servers drop repeats by an idempotency key, within a window of time.
const effectIdempotencyKey = "guarded"

// positionsCarried says that session reads carry the log position of their session's last write.
const positionsCarried = "brought"

var effects = map[string]policy.Effect{
	"free": policy.EffectIdempotent, "single_shot": policy.EffectNonIdempotent,
	effectIdempotencyKey: policy.EffectNonIdempotent, // read in the strictest sense: never repeated, in spite of its key
}

var needs = map[string]policy.Need{
	"eventual": policy.NeedAny, "lag_bound": policy.NeedBounded, "causal": policy.NeedSession,
	"strong": policy.NeedFresh, "mutate": policy.NeedWrite,
}

// membershipModes tells whether the endpoint list has to be subscribed to.
var membershipModes = map[string]bool{"subscribe": true, "automatic": false}

var freshnessChecks = map[string]policy.FreshnessCheck{
	"none": policy.FreshnessCheckNone, "bounce": policy.FreshnessCheckReject, "await": policy.FreshnessCheckWait,
}
