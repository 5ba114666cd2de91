// Package maintenance decides in which order machines (gateways and database servers) are taken out of service for work: which
// one is next, when it may be touched, and when it counts as back.
//
// An Order is replicated: it is part of the ledger, the Raft group that holds what concerns the whole state store
// (internal/raftstore). It changes by the ledger's entries alone, through Order.Command (what an operator says) and Order.Step
// (what the leader decides). Both are deterministic, so every gateway that applies the same entries has the same order.
//
// A gateway or a server may go by this chain:
//
//   - The ledger's leader, and nobody else, decides. With each tick raftstore's Host.planMaintenance calls Planner.Plan with the order
//     and a ClusterView of what the gateways have reported.
//   - Planner.Plan asks evaluator.reasonToWait for each machine that is requested: first what concerns all
//     (evaluator.clusterFault, evaluator.placeReason), then evaluator.gatewayReasonToWait or evaluator.serverReasonToWait.
//     The first machine that has no reason to wait gets a Step to Next.
//   - evaluator.next, evaluator.draining and Planner.away take a machine further, or back, from there.
//   - Each member of the ledger's Raft group checks again in Order.Step, from the ledger alone, what must never be violated:
//     the places, one server of a group at a time, no two gateways that share a shard, no shard that is incomplete. A Step that
//     was made for another Revision of the machine has no effect.
//
// The package is pure: no goroutine, no clock, no I/O. An Order and a Planner belong to the goroutine of the raftstore Host that
// has them. All times are microseconds of the ledger's own time. docs/maintenance.md has the design, and every rule with its reason.
package maintenance
