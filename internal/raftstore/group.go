package raftstore

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// Settings of the Raft library. Election timeouts are random, from electionTicks to 2*electionTicks-1 ticks.
const (
	electionTicks       = 5
	heartbeatTicks      = 1
	maxMessageBytes     = 128 << 10
	maxInflightMessages = 64
	maxUncommittedBytes = 16 << 20
)

// retainedEntries is how many entries before a snapshot stay in the log, so that members that are only slightly behind can catch up
// without a snapshot. A snapshot is written once the log since the last snapshot is larger than both that snapshot and
// Config.MinLogBytes.
const retainedEntries = 512

// maxLearnerLag is how many entries a learner's log may be behind the leader's log when the learner is made a voter.
const maxLearnerLag = 16

// snapshotTimeoutTicks is the number of ticks after which a sent snapshot is treated as lost.
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
	pendingApplies []*pb.Message // messages of the Raft library whose entries are to be applied, in order
	conf           *pb.ConfState
	logBytes       int64 // size of the entries since the last snapshot
	snapshotBytes  int64 // size of the last snapshot

	durable durableState

	recovery *recovery   // nil: the member is not in recovery and takes part in the group
	minLog   logPosition // votes for no candidate whose log is behind minLog; campaigns only once its own log has reached minLog

	leaderID uint64
	isLeader bool
	leading  leadership
	clients  clientQueue
}

// durableState tracks which part of the member's state is on the disk.
type durableState struct {
	hardState      *pb.HardState // hard state on the disk, except that the commit index on the disk may be lower
	commit         uint64        // commit index that is on the disk
	pendingWrites  int           // number of this member's parts of writes that are not on the disk yet
	unsentMessages []*pb.Message // messages held back until their term is on the disk
	scanned        uint64        // committed entries up to this index were searched for configuration changes
	lastConfChange uint64        // index of the last configuration change found among the scanned entries
}

// leadership is the state that a member keeps only while it leads the group.
type leadership struct {
	since          clock.Micros
	baseTime       clock.Micros            // the group's time when this member was elected
	expiredAt      clock.Micros            // when an empty entry was last proposed to make records expire
	snapshotSentAt map[uint64]clock.Micros // when a snapshot was last sent, by receiving member
}

// newGroup creates a member from its stored state. Without a snapshot the member is empty and waits for the group's leader to add
// it.
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

// load restores the snapshot, hard state and entries that are on the disk.
func (g *group) load(stored StoredMember) error {
	if stored.Snapshot != nil {
		if err := g.restore(stored.Snapshot); err != nil {
			return err
		}
	}
	if stored.HardState != nil {
		// The commit index on the disk may be behind the snapshot, because the index is only written together with other changes.
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

// processReady carries out the work that the Raft library has ready.
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
			g.host.placement = newPlacementObservations(g.host.now)
		}
		g.host.emitNotice(Notice{Kind: NoticeBecameLeader, Group: g.id, Epoch: g.epoch, Number: g.member})
		return
	}
	g.host.emitNotice(Notice{Kind: NoticeSteppedDown, Group: g.id, Epoch: g.epoch, Number: g.member})
	for _, reads := range g.clients.unconfirmed { // no quorum will confirm them any more
		g.rejectReads(reads)
	}
	clear(g.clients.unconfirmed)
	g.rejectReads(g.clients.reads)
	g.clients.reads, g.clients.proposed = nil, nil
	clear(g.leading.snapshotSentAt)
}

// leaderName returns the name of the gateway that leads the group, or "" if it is not known.
func (g *group) leaderName() string {
	if g.isLeader {
		return g.host.cfg.Name
	}
	return g.host.gatewayOf(g.id, g.leaderID)
}

// tick advances the member by one tick. A leader also proposes an entry if records have expired, treats overdue snapshots as lost
// and proposes configuration changes.
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
	if s, ok := g.sm.(*shard); ok && s.hasExpired(g.groupTime()) && g.host.now-g.leading.expiredAt >= 10*g.host.cfg.Tick {
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

// groupReport returns the group's report for the ledger's leader.
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
