package raftstore

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// caller is who waits for a result.
type caller struct {
	node     string // empty: this gateway
	id       uint64
	deadline clock.Micros
}

// commandID identifies a command.
type commandID struct{ client, sequence uint64 }

// pendingRead is a read that waits for a quorum to confirm the leader (read index).
type pendingRead struct {
	caller
	key []byte
}

// confirmedReads are reads that are answered once their index is applied.
type confirmedReads struct {
	index uint64
	reads []pendingRead
}

// clientQueue is the commands and reads that wait at the group's leader.
type clientQueue struct {
	proposed    []*api.Command       // for the next entry
	waiting     map[commandID]caller // for their commands to be applied
	reads       []pendingRead        // for the next read index
	lastRead    uint64
	unconfirmed map[uint64][]pendingRead // by the number of the read index that was asked for
	confirmed   []confirmedReads         // in the order of their indexes
}

// handleCall takes in a command or a read, or rejects it.
func (g *group) handleCall(caller caller, c *api.Call) {
	status := StatusOK
	switch shard, _ := g.sm.(*shard); {
	case !g.isLeader || g.recovery != nil || g.host.shutdown.draining:
		status = statusNotLeader
	case c.Command == nil && c.Get == nil, shard == nil && c.Get == nil && c.Command.GetChange().GetMaintenanceCommand() == nil, shard != nil && c.Command.GetChange() != nil:
		status = StatusInvalid
	case c.Get != nil:
		g.clients.reads = append(g.clients.reads, pendingRead{caller, c.Get.Key})
		return
	case len(g.conf.Voters) < int(g.host.ledger.GetVotersPerGroup()):
		status = statusNotLeader // nothing is promised before the group is complete
	case c.Command.Format > max(g.host.ledger.GetFormat(), FirstFormat):
		status = StatusFormatTooNew
	default:
		g.clients.waiting[commandID{c.Command.Client, c.Command.Sequence}] = caller
		g.clients.proposed = append(g.clients.proposed, c.Command)
		return
	}
	g.host.reply(caller, &api.Reply{Status: uint32(status), Leader: g.leaderName()})
}

// flushProposals puts all commands that have come together into one entry, and requests one read index for all reads.
func (g *group) flushProposals() {
	if len(g.clients.proposed) > 0 && g.isLeader {
		if !g.proposeEntry(g.clients.proposed) {
			for _, c := range g.clients.proposed {
				k := commandID{c.Client, c.Sequence}
				if o, waits := g.clients.waiting[k]; waits {
					delete(g.clients.waiting, k)
					g.host.reply(o, &api.Reply{Status: uint32(statusNotLeader)})
				}
			}
		}
	}
	g.clients.proposed = nil
	if len(g.clients.reads) > 0 && g.isLeader {
		g.clients.lastRead++
		g.clients.unconfirmed[g.clients.lastRead] = g.clients.reads
		g.clients.reads = nil
		g.node.ReadIndex(appendNumber(nil, g.clients.lastRead))
	}
}

// proposeEntry proposes an entry. It tells whether the Raft library accepted it.
func (g *group) proposeEntry(commands []*api.Command) bool {
	raw, err := proto.Marshal(&api.Entry{Time: int64(g.groupTime()), Commands: commands})
	return err == nil && g.node.Propose(raw) == nil
}

// answerConfirmedReads answers the reads whose index is applied.
func (g *group) answerConfirmedReads() {
	for len(g.clients.confirmed) > 0 && g.clients.confirmed[0].index <= g.applied {
		for _, r := range g.clients.confirmed[0].reads {
			switch s := g.sm.(type) {
			case *shard:
				g.host.reply(r.caller, s.get(r.key))
			case *ledger:
				g.host.reply(r.caller, &api.Reply{Value: g.host.encodeListing(s.Ledger), Found: true})
			}
		}
		g.clients.confirmed = g.clients.confirmed[1:]
	}
}

// rejectReads replies that this member does not lead the group.
func (g *group) rejectReads(reads []pendingRead) {
	for _, r := range reads {
		g.host.reply(r.caller, &api.Reply{Status: uint32(statusNotLeader), Leader: g.leaderName()})
	}
}

// groupTime is the group's time on its leader: the time at its election plus how long it has led. So a clock that was set does not matter,
// and time without a leader does not count.
func (g *group) groupTime() clock.Micros {
	return max(g.sm.time(), g.leading.baseTime+g.host.now-g.leading.since)
}

// appendNumber encodes the number of a read index request.
func appendNumber(b []byte, n uint64) []byte { return binary.BigEndian.AppendUint64(b, n) }

// decodeNumber is its reverse; 0: not such a number.
func decodeNumber(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
