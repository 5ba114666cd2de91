package raftstore

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// origin is who waits for a result.
type caller struct {
	node     string // empty: this gateway
	id       uint64
	deadline clock.Micros
}

// slot tells commands apart.
type commandID struct{ client, sequence uint64 }

// reading is a read that waits until the group has confirmed who leads.
type pendingRead struct {
	caller
	key []byte
}

// due are reads that are answered once an index is applied.
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

// call takes in a command or a read.
func (g *group) handleCall(o caller, c *api.Call) {
	status := StatusOK
	switch shard, _ := g.sm.(*shard); {
	case !g.isLeader || g.recovery != nil || g.host.shutdown.draining:
		status = statusNotLeader
	case c.Command == nil && c.Get == nil, shard == nil && c.Get == nil && c.Command.GetChange().GetMaintenanceCommand() == nil, shard != nil && c.Command.GetChange() != nil:
		status = StatusInvalid
	case c.Get != nil:
		g.clients.reads = append(g.clients.reads, pendingRead{o, c.Get.Key})
		return
	case len(g.conf.Voters) < int(g.host.ledger.GetVotersPerGroup()):
		status = statusNotLeader // nothing is promised before there are as many copies as were promised
	case c.Command.Format > max(g.host.ledger.GetFormat(), FirstFormat):
		status = StatusFormatTooNew
	default:
		g.clients.waiting[commandID{c.Command.Client, c.Command.Sequence}] = o
		g.clients.proposed = append(g.clients.proposed, c.Command)
		return
	}
	g.host.reply(o, &api.Reply{Status: uint32(status), Leader: g.leaderName()})
}

// propose puts all commands of a moment into one entry, and has one question confirm all reads of it.
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

// enter proposes an entry. It tells whether the library took it.
func (g *group) proposeEntry(commands []*api.Command) bool {
	raw, err := proto.Marshal(&api.Entry{Time: int64(g.groupTime()), Commands: commands})
	return err == nil && g.node.Propose(raw) == nil
}

// answerReads answers the reads whose time has come.
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

func (g *group) rejectReads(reads []pendingRead) {
	for _, r := range reads {
		g.host.reply(r.caller, &api.Reply{Status: uint32(statusNotLeader), Leader: g.leaderName()})
	}
}

// logTime is the group's time by the leader that runs: it goes on from where it was by how long this one has led, so that no
// clock that was set has any say in it, and a time without a leader does not count.
func (g *group) groupTime() clock.Micros {
	return max(g.sm.time(), g.leading.baseTime+g.host.now-g.leading.since)
}

func appendNumber(b []byte, n uint64) []byte { return binary.BigEndian.AppendUint64(b, n) }

func decodeNumber(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
