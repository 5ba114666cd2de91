package simwire

import "marblespan/internal/policy"

// The names of messages to the routers.
const (
	nameBatchBegin          = "TICK"
	nameBatchEnd            = "FLUSH"
	nameEndpointSheet       = "LEDGER"
	nameStartInstance       = "START"
	nameStopInstance        = "POWER_OFF"
	nameEndpointListChanged = "REGISTRY"
	nameArrival             = "JOB_IN"
	nameAnswerStarted       = "HEADERS"
	nameOutcome             = "RESPONSE"
	nameClientDisconnected  = "DROPPED"
	nameTimer               = "ALARM"
	nameHealthCheckEnded    = "STATUS_BACK"
	namePeerMessage         = "MAIL"
)

// The names of actions and replies.
const (
	nameSend        = "TRY"
	nameReject      = "SAY_NO"
	nameFail        = "FINISH_ERROR"
	nameCancel      = "ABANDON"
	nameSetTimer    = "SET_ALARM"
	nameHealthCheck = "POLL"
	nameCloseIdle   = "CLOSE_IDLE"
	nameSendToPeer  = "MEMO_TO"
	nameLog         = "WRITE_LOG"
	nameWatch       = "STREAM_CHANGES"
	nameFetch       = "SNAPSHOT"
	nameFault       = "BROKEN"
	nameReplyEnd    = "YIELD"
)

// The codes that the wire uses.
var (
	results = map[int64]policy.Result{
		200: policy.ResultOK, 500: policy.ResultError, 503: policy.ResultOverloaded, 504: policy.ResultTimeout,
		502: policy.ResultConnectFailed, 598: policy.ResultReset, 499: policy.ResultCancelled,
		410: policy.ResultNotSent, 404: policy.ResultMisdirected,
	}
	// executions holds the results that prove whether an attempt ran. After any other result, it is unknown whether the
	// attempt ran.
	executions = map[policy.Result]policy.Execution{
		policy.ResultOK: policy.ExecutionDone, policy.ResultOverloaded: policy.ExecutionNone,
		policy.ResultConnectFailed: policy.ExecutionNone, policy.ResultNotSent: policy.ExecutionNone,
		policy.ResultMisdirected: policy.ExecutionNone,
	}
	endpointStates = map[int64]policy.EndpointState{
		0: policy.EndpointRemoved, 1: policy.EndpointReady, 2: policy.EndpointDraining,
	}
	listForms = map[int64]policy.ListForm{
		0: policy.ListDelta, 4: policy.ListFull, 1: policy.ListCached, 3: policy.ListFailed,
	}
	roles = map[int64]policy.Role{0: policy.RoleUnknown, 1: policy.RolePrimary, 2: policy.RoleReplica}
)

// roleCodes is the number of codes reserved for the role in the note of an outcome. The note is the log position in milliseconds,
// multiplied by roleCodes, plus the code of the role.
const roleCodes = 4

// flagClientRetry is the bit of an arrival's flags that marks a request as a client's repetition of an earlier request.
const flagClientRetry = 2

// sweepToken stands for the sweep timer on the wire. The token of every other timer is the id of its request.
const sweepToken = "sweep"
