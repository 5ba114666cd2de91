// Package maintenance decides in which order machines (gateways and database servers) are taken out of service for maintenance
// work: which machine is next, when operators may work on it, and when it counts as returned.
//
// The list of machines (Order) is replicated. The Order is part of the ledger, the Raft group with the data that concerns the
// whole state store (internal/raftstore). Only entries of the ledger change the Order, through Order.Command (an operator's
// command) and Order.Step (a decision of the leader). Both methods are deterministic, so every gateway that applies the same
// entries has the same Order.
//
// A gateway or a server is taken out of service in these steps:
//
//   - Only the ledger's leader decides. On each tick, Host.planMaintenance in raftstore calls Planner.Plan with the order and a
//     ClusterView, which contains the reports of the gateways.
//   - Planner.Plan calls evaluator.reasonToWait for each requested machine. That method first checks what concerns
//     all machines (evaluator.clusterFault, evaluator.placeReason), then calls evaluator.gatewayReasonToWait or
//     evaluator.serverReasonToWait.
//     The first machine that has no reason to wait gets a Step to Next.
//   - From there, evaluator.next, evaluator.draining and Planner.away move the machine to a later state or back to an earlier one.
//   - Each member of the ledger's Raft group checks the safety rules again in Order.Step, from the ledger alone: the limits on
//     machines out of service, one server of a group at a time, no two gateways that share a shard, no incomplete shard. A Step
//     that was decided for another Revision of the machine has no effect.
//
// The package is pure: no goroutine, no clock, no I/O. An Order and a Planner belong to the goroutine of their raftstore Host.
// All times are in microseconds of the ledger's own time. docs/maintenance.md describes the design and gives the reason for every
// rule.
package maintenance
