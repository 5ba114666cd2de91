package settings

import "marblespan/internal/policy"

// wireSettings is the JSON form of the settings, as the platform writes them. The struct tags hold the platform's keys; the
// fields have the names that policy.Settings uses.
type wireSettings struct {
	Classes        []wireClass     `json:"classes"`
	Tenants        []wireTenant    `json:"realms"`
	Gateways       int             `json:"balancers"`
	Ordinal        int             `json:"ordinal"`
	Tick           wireNumber      `json:"granularity_ms"`
	Zone           string          `json:"locality"`
	MembershipMode string          `json:"membership_mode"`
	Replication    wireReplication `json:"family_info"`
	Limits         wireLimits      `json:"policy_limits"`
	Costs          wireCosts       `json:"costs"`
	LoadReport     wireLoadReport  `json:"report"`
	Rules          wireRules       `json:"rules"`
}

// wireClass is a class of requests. wireReplication.Needs holds how current the data for each class must be.
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

// wireTenant is one of the tenants that requests belong to.
type wireTenant struct {
	Name  string     `json:"name"`
	Quota wireNumber `json:"portion"`
}

// wireReplication describes how the database servers replicate and check freshness.
type wireReplication struct {
	FreshnessCheck       string       `json:"checks"`
	StalenessBounds      []wireNumber `json:"oldest_data_ms"` // staleness bound of each class
	Needs                []string     `json:"freshness"`      // how current the data for each class must be
	AnswersCarryPosition bool         `json:"answers_stamped"`
	SessionPositions     string       `json:"write_marks"`
	FreshnessCheckWait   wireNumber   `json:"wait_ms"`
	PositionEpoch        wireNumber   `json:"counted_from_ms"`
}

// wireLimits describes which operations a gateway can and may use, and their limits.
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

// wireCosts holds the costs of a request, in points.
type wireCosts struct {
	CrossZone wireNumber `json:"cross_zone"`
}

// wireLoadReport describes load reports.
type wireLoadReport struct {
	Fields []string `json:"fields"`
}

// wireRules holds the platform's rules for using servers.
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

// wireNumber is a JSON number that is kept as text until its unit is known.
type wireNumber string

// UnmarshalJSON keeps the raw text of any value except null. The parser later checks whether the text is a number; if it is
// not, its error names the key.
func (n *wireNumber) UnmarshalJSON(raw []byte) error {
	if string(raw) != "null" {
		*n = wireNumber(raw)
	}
	return nil
}

// effectIdempotencyKey is the effect of a class whose requests carry an idempotency key, by which the servers recognize and
// drop repetitions for a limited time.
const effectIdempotencyKey = "guarded"

// positionsCarried means that a session read carries the log position of its session's last write.
const positionsCarried = "brought"

var effects = map[string]policy.Effect{
	"free": policy.EffectIdempotent, "single_shot": policy.EffectNonIdempotent,
	effectIdempotencyKey: policy.EffectNonIdempotent, // strictest meaning: never repeated, in spite of its key
}

var needs = map[string]policy.Need{
	"eventual": policy.NeedAny, "lag_bound": policy.NeedBounded, "causal": policy.NeedSession,
	"strong": policy.NeedFresh, "mutate": policy.NeedWrite,
}

// membershipModes gives, for each membership mode, whether the gateway must subscribe to the endpoint list.
var membershipModes = map[string]bool{"subscribe": true, "automatic": false}

var freshnessChecks = map[string]policy.FreshnessCheck{
	"none": policy.FreshnessCheckNone, "bounce": policy.FreshnessCheckReject, "await": policy.FreshnessCheckWait,
}
