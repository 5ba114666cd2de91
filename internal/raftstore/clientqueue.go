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
	if status := g.admit(c); status != StatusOK {
		g.host.reply(caller, &api.Reply{Status: uint32(status), Leader: g.leaderName()})
		return
	}
	if c.Get != nil {
		g.clients.reads = append(g.clients.reads, pendingRead{caller, c.Get.Key})
		return
	}
	g.clients.waiting[commandID{c.Command.Client, c.Command.Sequence}] = caller
	g.clients.proposed = append(g.clients.proposed, c.Command)
}

// admit tells why a call cannot be taken in; StatusOK: it can. Reads do not need a complete group.
func (g *group) admit(c *api.Call) Status {
	switch {
	case !g.isLeader || g.recovery != nil || g.host.shutdown.draining:
		return statusNotLeader
	case !g.serves(c):
		return StatusInvalid
	case c.Get != nil:
		return StatusOK
	case len(g.conf.Voters) < int(g.host.ledger.GetVotersPerGroup()):
		return statusNotLeader // nothing is acknowledged before the group is complete
	case c.Command.Format > max(g.host.ledger.GetFormat(), FirstFormat):
		return StatusFormatTooNew
	}
	return StatusOK
}

// serves tells whether a call is of a kind that this group serves: the ledger takes reads and maintenance commands, a shard everything but
// changes of the ledger.
func (g *group) serves(c *api.Call) bool {
	if c.Command == nil && c.Get == nil {
		return false
	}
	if _, isShard := g.sm.(*shard); isShard {
		return c.Command.GetChange() == nil
	}
	return c.Get != nil || c.Command.GetChange().GetMaintenanceCommand() != nil
}

// flushProposals puts all commands that have come together into one entry, and requests one read index for all reads.
func (g *group) flushProposals() {
	if len(g.clients.proposed) > 0 && g.isLeader && !g.proposeEntry(g.clients.proposed) {
		g.rejectCommands(g.clients.proposed)
	}
	g.clients.proposed = nil
	if len(g.clients.reads) > 0 && g.isLeader {
		g.clients.lastRead++
		g.clients.unconfirmed[g.clients.lastRead] = g.clients.reads
		g.clients.reads = nil
		g.node.ReadIndex(appendNumber(nil, g.clients.lastRead))
	}
}

// rejectCommands replies to the callers of commands that were not proposed.
func (g *group) rejectCommands(commands []*api.Command) {
	for _, c := range commands {
		id := commandID{c.Client, c.Sequence}
		if waiting, waits := g.clients.waiting[id]; waits {
			delete(g.clients.waiting, id)
			g.host.reply(waiting, &api.Reply{Status: uint32(statusNotLeader)})
		}
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
