package maintenance

import (
	"strconv"
	"strings"
)

// Cause is the kind of reason for which a machine waits.
type Cause uint8

// The causes. The first three groups keep a machine in Requested or send it back there. The last group contains the
// other causes for which a machine in a later state waits or goes back.
const (
	NoCause Cause = iota // the machine does not wait

	// Causes that concern all machines.
	AllPaused
	ReportsMissing // reports are missing before a machine drains
	GatewayDead
	GatewaySilent
	ShardUnderReplicated
	NoGatewayLeft
	TooMuchLoad
	PlacesTaken

	// Causes that concern a gateway.
	GatewayNotReporting
	ZoneNotReady
	NoOtherForAddress
	SharedShard
	ShardIncomplete

	// Causes that concern a server.
	ServerUnknown
	PeerDown
	PeerWarmingUp
	PeerLagging
	ReplicaFirst
	OnlyServer
	NoPrimary

	// Causes that concern a machine that is Next or in a later state.
	OtherPrimary
	Restarted
	ShardsMigrating
	ReportsMissingWhileDraining // reports are missing while a machine drains
	DiedWhileDraining
	RestartedWhileDraining
	IdleReport
	CurrentReport
	InFlight
	LeadershipTransfer
	ServerQuiescence
	GatewaysUnreachable
	ServerQuiescenceAndUnreachable
	Work
	ServerWork
	Return
	Stability
	AnyReport
	Readiness
	ShardsRestored
	EndpointListing
	Answers
	WarmUp
	CatchUp
	Settling
	causeCount
)

// reasonTexts are the texts that operators see. {subject} stands for Reason.Subject, {quoted} for the subject in quotes, {detail}
// for Reason.Detail and {count} for Reason.Count.
var reasonTexts = [causeCount]string{
	AllPaused:            "an operator's go: all are held",
	ReportsMissing:       "the ledger's leader has not heard everybody yet",
	GatewayDead:          "{subject} is dead",
	GatewaySilent:        "{subject} has not reported lately",
	ShardUnderReplicated: "a shard of {subject} has not all its copies",
	NoGatewayLeft:        "no gateway would be left",
	TooMuchLoad:          "those that stay would have to carry {count} % of what they can",
	PlacesTaken:          "its turn, after {subject}",

	GatewayNotReporting: "it is not there",
	ZoneNotReady:        "zone {quoted} would be left with {count} gateways that are ready",
	NoOtherForAddress:   "nobody else could take the floating address of {subject}",
	SharedShard:         "{subject} holds a shard that it holds too, and is {detail}",
	ShardIncomplete:     "a shard of it has not all its copies",

	ServerUnknown: "no gateway knows such a server",
	PeerDown:      "{subject} of its group is down",
	PeerWarmingUp: "{subject} of its group is cold",
	PeerLagging:   "{subject} of its group is behind",
	ReplicaFirst:  "replicas go first, and {subject} is in the order",
	OnlyServer:    "it is the only server of its group",
	NoPrimary:     "its group has no primary that all gateways know",

	OtherPrimary:                "another primary: promote one of its group, or say go to it",
	Restarted:                   "it was started anew",
	ShardsMigrating:             "{count} shards that move to other gateways, for it is out for longer than repair-after",
	ReportsMissingWhileDraining: "the ledger's leader to have heard everybody",
	DiedWhileDraining:           "an operator's go: it died while it was leaving, and may only be cut off",
	RestartedWhileDraining:      "it was started anew while it was leaving",
	IdleReport:                  "its word that nothing is under way",
	CurrentReport:               "its word that it knows",
	InFlight:                    "what is under way there",
	LeadershipTransfer:          "others to lead what it leads",
	ServerQuiescence:            "the word of {subject} that nothing is out there",
	GatewaysUnreachable:         "{detail} cannot be reached and may still send there: say go if it cannot",
	ServerQuiescenceAndUnreachable: "the word of {subject} that nothing is out there; " +
		"{detail} cannot be reached and may still send there: say go if it cannot",
	Work:            "the work to be done",
	ServerWork:      "the work to be done, and done to be said",
	Return:          "it to come back",
	Stability:       "it to stay: it was started anew",
	AnyReport:       "its word",
	Readiness:       "it to be ready",
	ShardsRestored:  "its shards to have all their copies",
	EndpointListing: "the list to name it",
	Answers:         "it to answer everybody",
	WarmUp:          "it to be warm",
	CatchUp:         "it to catch up",
	Settling:        "it to stay well for a while",
}

// Reason is why a machine waits. The zero Reason means that the machine does not wait.
type Reason struct {
	Cause   Cause
	Subject string // the machines, the zone or the group that the reason names
	Detail  string // depending on the cause: the state of the subject, or further machines
	Count   int    // depending on the cause: a number of gateways or shards, or a percentage
}

// because returns a reason that consists only of its cause.
func because(c Cause) Reason { return Reason{Cause: c} }

// about returns a reason with a subject.
func about(c Cause, subject string) Reason { return Reason{Cause: c, Subject: subject} }

// exists reports whether there is a reason to wait.
func (r Reason) exists() bool { return r.Cause != NoCause }

// String returns the reason as operators see it. For the zero Reason it returns the empty string.
func (r Reason) String() string {
	if r.Cause >= causeCount {
		return ""
	}
	return strings.NewReplacer(
		"{subject}", r.Subject, "{quoted}", strconv.Quote(r.Subject), "{detail}", r.Detail, "{count}", strconv.Itoa(r.Count),
	).Replace(reasonTexts[r.Cause])
}
