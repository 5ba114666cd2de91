package raftstore

import (
	"testing"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
)

// A member may reply to a recovery query after the member that sent it has crashed and has started again on an older copy of its
// disk. Guards against taking the reply to the first query for one to the second: it says that the disk is not stale, which the older
// copy is, and the member would take part again without what it had acknowledged.
func TestRecoveryRepliesToAnEarlierStart(t *testing.T) {
	filter := &replyFilter{}
	sim := newSimulation(1, 3, 0, 1, &mutant{after: filter.after})
	awaitComplete(sim)
	l := sim.startWorkload(3)
	recovering := sim.gateways[2]
	if sim.leaderOf(1) == recovering {
		recovering = sim.gateways[1]
	}
	backup := recovering.disk
	sim.advance(2 * second)
	l.stop()
	sim.advance(second)
	filter.to, filter.active, recovering.trusted = recovering.name, true, false
	restart(sim, recovering, 10*ms)
	sim.advance(second)
	sim.crash(recovering)
	repliesToEarlier := filter.held
	if len(repliesToEarlier) == 0 {
		t.Fatal("no replies were held")
	}
	recovering.disk = backup
	sim.start(recovering)
	for range 5 {
		for _, packet := range repliesToEarlier {
			sim.handle(recovering, packet)
		}
		sim.advance(testTick)
	}
	for _, g := range recovering.host.sortedGroups() {
		if g.recovery == nil {
			t.Errorf("the member of group %d has recovered by replies to its earlier start", g.id)
		}
	}
	filter.active = false
	awaitComplete(sim)
	if sim.failure == "" {
		l.checkAll()
	}
	if sim.failure != "" {
		t.Error(sim.failure)
	}
}

// earlierVersion is a hook that makes one gateway answer and ask recovery queries as the version before the field start did.
func earlierVersion(name string) func(*simulation, *simGateway, []Action) []Action {
	return func(_ *simulation, n *simGateway, out []Action) []Action {
		for i, action := range out {
			var packet api.Packet
			send, ok := action.(Send)
			if !ok || n.name != name || proto.Unmarshal(send.Body, &packet) != nil {
				continue
			}
			for _, query := range packet.RecoveryQueries {
				query.Start = 0
			}
			for _, reply := range packet.RecoveryReplies {
				reply.Start = 0
			}
			send.Body, _ = proto.Marshal(&packet)
			out[i] = send
		}
		return out
	}
}

// Gateways of the version before the field start and of this one recover by each other's replies.
func TestRecoveryBesideAnEarlierVersion(t *testing.T) {
	untrustedDisks := fault{"every gateway restarts without a trusted disk", 3, false, func(sim *simulation) {
		for _, n := range sim.storeGateways() {
			n.trusted = false
			restart(sim, n, 10*ms)
			awaitComplete(sim)
		}
	}}
	for seed := range uint64(6) {
		if failure, _ := runFault(untrustedDisks, seed, &mutant{after: earlierVersion("g1")}); failure != "" {
			t.Error(failure)
		}
	}
}
