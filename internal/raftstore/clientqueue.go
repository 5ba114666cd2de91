package raftstore

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// caller identifies the origin of a call, to which the result is sent.
type caller struct {
	node     string // name of the gateway; empty: this gateway
	id       uint64
	deadline clock.Micros
}

// commandID identifies a command.
type commandID struct{ client, sequence uint64 }

// pendingRead is a read that waits until a quorum confirms that this member still leads the group (read index).
type pendingRead struct {
	caller
	key []byte
}

// confirmedReads are reads whose read index was confirmed. They are answered once that index is applied.
type confirmedReads struct {
	index uint64
	reads []pendingRead
}

// clientQueue holds the commands and reads that this member, as the group's leader, has accepted and not yet answered.
type clientQueue struct {
	proposed    []*api.Command       // commands for the next entry
	waiting     map[commandID]caller // callers whose commands are not applied yet
	reads       []pendingRead        // reads for the next read index request
	lastRead    uint64
	unconfirmed map[uint64][]pendingRead // reads, by the number of their read index request
	confirmed   []confirmedReads         // reads, in the order of their read indexes
}

// handleCall queues a command or a read, or rejects it.
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

// admit returns StatusOK if a call can be queued, or else the status with which it is rejected. Reads are admitted even if the
// group does not have all its voters.
func (g *group) admit(c *api.Call) Status {
	switch {
	case !g.isLeader || g.recovery != nil || g.host.shutdown.draining:
		return statusNotLeader
	case !g.serves(c):
		return StatusInvalid
	case c.Get != nil:
		return StatusOK
	case len(g.conf.Voters) < int(g.host.ledger.GetVotersPerGroup()):
		return statusNotLeader // no write is acknowledged before the group has all its voters
	case c.Command.Format > max(g.host.ledger.GetFormat(), FirstFormat):
		return StatusFormatTooNew
	}
	return StatusOK
}

// serves reports whether this group handles the given kind of call. The ledger handles reads and maintenance commands; a shard
// handles everything except changes of the ledger.
func (g *group) serves(c *api.Call) bool {
	if c.Command == nil && c.Get == nil {
		return false
	}
	if _, isShard := g.sm.(*shard); isShard {
		return c.Command.GetChange() == nil
	}
	return c.Get != nil || c.Command.GetChange().GetMaintenanceCommand() != nil
}

// flushProposals proposes all queued commands as one entry, and requests one read index for all queued reads.
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

// rejectCommands replies to the callers of commands that could not be proposed.
func (g *group) rejectCommands(commands []*api.Command) {
	for _, c := range commands {
		id := commandID{c.Client, c.Sequence}
		if waiting, ok := g.clients.waiting[id]; ok {
			delete(g.clients.waiting, id)
			g.host.reply(waiting, &api.Reply{Status: uint32(statusNotLeader)})
		}
	}
}

// proposeEntry proposes an entry and reports whether the Raft library accepted it.
func (g *group) proposeEntry(commands []*api.Command) bool {
	raw, err := proto.Marshal(&api.Entry{Time: int64(g.groupTime()), Commands: commands})
	return err == nil && g.node.Propose(raw) == nil
}

// answerConfirmedReads answers the confirmed reads whose index is applied.
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

// rejectReads answers reads with statusNotLeader, because this member does not lead the group.
func (g *group) rejectReads(reads []pendingRead) {
	for _, r := range reads {
		g.host.reply(r.caller, &api.Reply{Status: uint32(statusNotLeader), Leader: g.leaderName()})
	}
}

// groupTime returns the group's time on its leader: the group's time when the leader was elected, plus the time since then.
// Therefore, setting a clock does not affect the group's time, and time without a leader does not count.
func (g *group) groupTime() clock.Micros {
	return max(g.sm.time(), g.leading.baseTime+g.host.now-g.leading.since)
}

// appendNumber appends the encoded number of a read index request to b.
func appendNumber(b []byte, n uint64) []byte { return binary.BigEndian.AppendUint64(b, n) }

// decodeNumber decodes a number encoded by appendNumber. It returns 0 if b does not have the length of such a number.
func decodeNumber(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
