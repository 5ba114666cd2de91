package raftstore

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// Settings of the Raft library. Election time-outs are drawn from electionTicks to twice that.
const (
	electionTicks       = 5
	heartbeatTicks      = 1
	maxMessageBytes     = 128 << 10
	maxInflightMessages = 64
	maxUncommittedBytes = 16 << 20
)

// retainedEntries is how many entries before a snapshot stay in the log, for members that are a little behind. A snapshot is written once
// the log since the last one is larger than that one.
const retainedEntries = 512

// maxLearnerLag is how many entries a learner may be behind to become a voter.
const maxLearnerLag = 16

// snapshotTimeoutTicks is after how long a sent snapshot counts as lost.
const snapshotTimeoutTicks = 100

// group is this gateway's member of one Raft group.
type group struct {
	host           *Host
	id, epoch      uint32
	member         uint64
	node           *raft.RawNode
	log            *storage
	sm             stateMachine
	applied        uint64
	pendingApplies []*pb.Message // to be applied, in order
	conf           *pb.ConfState
	logBytes       int64 // of the entries since the last snapshot
	snapshotBytes  int64 // of the last snapshot

	durable durableState

	recovery *recovery   // nil: the member takes part
	minLog   logPosition // no member with a shorter log gets this one's vote, and it does not stand before it has as much itself

	leaderID uint64
	isLeader bool
	leading  leadership
	clients  clientQueue
}

// durableState is what is known of the member's part of the disk.
type durableState struct {
	hardState      *pb.HardState // as on the disk; only the commit there may be lower
	commit         uint64        // the commit that is on the disk
	pendingWrites  int           // parts of writes that are not on the disk yet
	unsentMessages []*pb.Message // that wait until their term is on the disk
	scanned        uint64        // committed entries up to here were searched for changes of the voters
	lastConfChange uint64        // index of the last such change among them
}

// leadership is what a member keeps while it leads the group.
type leadership struct {
	since          clock.Micros
	baseTime       clock.Micros            // the group's time at the election
	expiredAt      clock.Micros            // when an entry was last proposed so that records expire
	snapshotSentAt map[uint64]clock.Micros // by the member that it was sent to
}

// newGroup makes a member from what is on the disk. Without a snapshot it is empty and waits for the group's leader to add it.
func (h *Host) newGroup(stored StoredMember, sm stateMachine) (*group, error) {
	member := &group{
		host: h, id: stored.Group, epoch: stored.Epoch, member: stored.Member, sm: sm, conf: &pb.ConfState{}, durable: durableState{hardState: &pb.HardState{}},
		leading: leadership{snapshotSentAt: map[uint64]clock.Micros{}},
		clients: clientQueue{waiting: map[commandID]caller{}, unconfirmed: map[uint64][]pendingRead{}},
	}
	member.log = &storage{raft.NewMemoryStorage(), member}
	if err := member.load(stored); err != nil {
		return nil, fmt.Errorf("raftstore: group %d: %w", stored.Group, err)
	}
	var err error
	member.node, err = raft.NewRawNode(&raft.Config{
		ID: stored.Member, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: member.log, Applied: member.applied,
		AsyncStorageWrites: true, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, Logger: discardLogger{}, DisableProposalForwarding: true,
		StepDownOnRemoval: true,
	})
	if err != nil {
		return nil, fmt.Errorf("raftstore: group %d: %w", stored.Group, err)
	}
	return member, nil
}

// load takes over what is on the disk: snapshot, hard state and entries.
func (g *group) load(stored StoredMember) error {
	if stored.Snapshot != nil {
		if err := g.restore(stored.Snapshot); err != nil {
			return err
		}
	}
	if stored.HardState != nil {
		// The commit on the disk may be behind the snapshot: it is written with whatever is written next.
		g.durable.hardState = &pb.HardState{
			Term: new(stored.HardState.GetTerm()), Vote: new(stored.HardState.GetVote()), Commit: new(max(stored.HardState.GetCommit(), g.applied)),
		}
		g.log.SetHardState(g.durable.hardState)
	}
	if err := g.log.Append(stored.Entries); err != nil {
		return err
	}
	g.durable.commit = max(g.durable.hardState.GetCommit(), g.applied)
	g.durable.scanned = g.durable.commit
	if last, _ := g.log.LastIndex(); last < g.durable.hardState.GetCommit() {
		return fmt.Errorf("the log ends at %d, before the committed entry %d", last, g.durable.hardState.GetCommit())
	}
	return nil
}

// processReady carries out what the Raft library wants done now.
func (g *group) processReady() {
	for g.node.HasReady() {
		rd := g.node.Ready()
		if rd.SoftState != nil {
			g.leadershipChanged(rd.SoftState)
		}
		for _, r := range rd.ReadStates {
			no := decodeNumber(r.RequestCtx)
			g.clients.confirmed = append(g.clients.confirmed, confirmedReads{r.Index, g.clients.unconfirmed[no]})
			delete(g.clients.unconfirmed, no)
		}
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				g.queueWrite(m)
			case raft.LocalApplyThread:
				g.pendingApplies = append(g.pendingApplies, m)
				g.applyDurable()
			default:
				g.sendOnceTermDurable(m)
			}
		}
		g.answerConfirmedReads()
	}
}

// leadershipChanged records who leads the group, and starts or ends the leadership of this member.
func (g *group) leadershipChanged(s *raft.SoftState) {
	g.leaderID = s.Lead
	leads := s.RaftState == raft.StateLeader
	if leads == g.isLeader {
		return
	}
	g.isLeader = leads
	if leads {
		g.leading.since, g.leading.baseTime, g.leading.expiredAt = g.host.now, g.sm.time(), g.host.now
		if g.id == LedgerGroup {
			g.host.resetMaintenance()
			g.host.placement = newPlacementFacts(g.host.now)
		}
		g.host.emitNotice(Notice{Kind: NoticeBecameLeader, Group: g.id, Epoch: g.epoch, Number: g.member})
		return
	}
	g.host.emitNotice(Notice{Kind: NoticeSteppedDown, Group: g.id, Epoch: g.epoch, Number: g.member})
	for _, reads := range g.clients.unconfirmed { // no quorum will confirm them now
		g.rejectReads(reads)
	}
	clear(g.clients.unconfirmed)
	g.rejectReads(g.clients.reads)
	g.clients.reads, g.clients.proposed = nil, nil
	clear(g.leading.snapshotSentAt)
}

// leaderName is the gateway that leads the group, as far as is known here; empty: not known.
func (g *group) leaderName() string {
	if g.isLeader {
		return g.host.cfg.Name
	}
	return g.host.gatewayOf(g.id, g.leaderID)
}

// tick lets one tick pass for the member; a leader also looks after expired records, lost snapshots and changes of the voters.
func (g *group) tick() {
	if g.recovery != nil {
		g.queryPeers()
		return
	}
	if g.minLog != (logPosition{}) && !g.lastPosition().before(g.minLog) {
		g.minLog = logPosition{}
	}
	if g.minLog == (logPosition{}) {
		g.node.Tick()
	}
	for k, o := range g.clients.waiting {
		if g.host.now > o.deadline {
			delete(g.clients.waiting, k)
		}
	}
	if !g.isLeader {
		return
	}
	if s, is := g.sm.(*shard); is && s.hasExpired(g.groupTime()) && g.host.now-g.leading.expiredAt >= 10*g.host.cfg.Tick {
		g.leading.expiredAt = g.host.now
		g.proposeEntry(nil)
	}
	for number, at := range g.leading.snapshotSentAt {
		if g.host.now-at > snapshotTimeoutTicks*g.host.cfg.Tick {
			delete(g.leading.snapshotSentAt, number)
			g.node.ReportSnapshot(number, raft.SnapshotFailure)
		}
	}
	g.proposeConfChange()
}

// groupReport is the report of the group to the ledger's leader.
func (g *group) groupReport() *api.GroupReport {
	r := &api.GroupReport{
		Group: g.id, Epoch: g.epoch, Term: g.node.BasicStatus().GetTerm(), Voters: g.conf.Voters, Learners: g.conf.Learners,
		Joint: len(g.conf.VotersOutgoing) > 0,
	}
	last, _ := g.log.LastIndex()
	g.node.WithProgress(func(id uint64, t raft.ProgressType, pr tracker.Progress) {
		if id != g.member && t == raft.ProgressTypePeer && pr.Match+retainedEntries < last {
			r.Lagging = true
		}
	})
	return r
}
