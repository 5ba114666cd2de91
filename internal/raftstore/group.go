package raftstore

import (
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// The library's settings. Election time-outs are drawn from electionTicks to twice that.
const (
	electionTicks   = 5
	heartbeatTicks  = 1
	mostPerMessage  = 128 << 10
	mostInFlight    = 64
	mostUncommitted = 16 << 20
)

// keepEntries stay in the log before a snapshot, for replicas that are a little behind. A snapshot is written once the log since
// the last one is larger than that one.
const keepEntries = 512

// nearEntries is how far behind a replica may be to become a voter.
const nearEntries = 16

// snapshotTicks is after how long a snapshot that was sent counts as lost.
const snapshotTicks = 100

// origin is who waits for a result.
type origin struct {
	name string // empty: this gateway
	id   uint64
	by   clock.Micros
}

// slot tells commands apart.
type slot struct{ client, sequence uint64 }

// reading is a read that waits until the group has confirmed who leads.
type reading struct {
	origin
	key []byte
}

// group is one replica.
type group struct {
	h         *Host
	id, epoch uint32
	number    uint64
	node      *raft.RawNode
	log       *storage
	sm        machine
	applied   uint64
	conf      *pb.ConfState
	hard      *pb.HardState // as on the disk, but for the commit, which may be behind there
	logBytes  int64
	snapBytes int64
	writes    int           // parts of writes that are not on the disk yet
	held      []*pb.Message // of a term that is not on the disk yet
	applies   []*pb.Message // to be applied, in order
	kept      uint64        // the commit that is on the disk
	scanned   uint64        // up to where committed entries were looked through for changes of the voters
	lastConf  uint64        // the last such change among them

	asking *asking // until it is sure of its disk; nil: it is
	floor  entry   // whoever is to lead must have so much, and so must this one before it stands

	leader   uint64
	led      bool
	ledAt    clock.Micros
	base     clock.Micros // the group's time when it was elected
	swept    clock.Micros
	proposed []*api.Command
	waiting  map[slot]origin
	reads    []reading
	readNo   uint64
	asked    map[uint64][]reading // by the number of their question
	behind   []due
	snapped  map[uint64]clock.Micros // when a snapshot was sent, by replica
}

// due are reads that are answered once an index is applied.
type due struct {
	index uint64
	reads []reading
}

// newGroup makes a replica from what is on the disk; without a snapshot it is empty, and waits to be taken in.
func (h *Host) newGroup(s StoredMember, sm machine) (*group, error) {
	g := &group{
		h: h, id: s.Group, epoch: s.Epoch, number: s.Member, sm: sm, conf: &pb.ConfState{}, hard: &pb.HardState{},
		waiting: map[slot]origin{}, asked: map[uint64][]reading{}, snapped: map[uint64]clock.Micros{},
	}
	g.log = &storage{raft.NewMemoryStorage(), g}
	if s.Snapshot != nil {
		if err := g.restore(s.Snapshot); err != nil {
			return nil, err
		}
	}
	if s.HardState != nil {
		// The commit comes to the disk with whatever is written next: a snapshot may have gone past it.
		g.hard = &pb.HardState{Term: new(s.HardState.GetTerm()), Vote: new(s.HardState.GetVote()), Commit: new(max(s.HardState.GetCommit(), g.applied))}
		g.log.SetHardState(g.hard)
	}
	if err := g.log.Append(s.Entries); err != nil {
		return nil, err
	}
	g.kept = max(g.hard.GetCommit(), g.applied)
	g.scanned = g.kept
	last, _ := g.log.LastIndex()
	if last < g.hard.GetCommit() {
		return nil, fmt.Errorf("group %d: the log ends at %d, before what is committed, %d", s.Group, last, g.hard.GetCommit())
	}
	var err error
	g.node, err = raft.NewRawNode(&raft.Config{
		ID: s.Member, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: g.log, Applied: g.applied,
		AsyncStorageWrites: true, MaxSizePerMsg: mostPerMessage, MaxInflightMsgs: mostInFlight, MaxUncommittedEntriesSize: mostUncommitted,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, Logger: silent{}, DisableProposalForwarding: true,
		StepDownOnRemoval: true,
	})
	return g, err
}

// part is a replica's part of a write, and what goes out once it is on the disk.
type part struct {
	g         *group
	message   *pb.Message // of the library; nil: a snapshot of our own
	snapshot  *pb.Snapshot
	hard      *pb.HardState // with a snapshot that a replica begins with
	responses []*pb.Message
}

// pump carries out what the library wants done now.
func (g *group) pump() {
	for g.node.HasReady() {
		rd := g.node.Ready()
		if rd.SoftState != nil {
			g.turned(rd.SoftState)
		}
		for _, r := range rd.ReadStates {
			no := readNumber(r.RequestCtx)
			g.behind = append(g.behind, due{r.Index, g.asked[no]})
			delete(g.asked, no)
		}
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				g.write(m)
			case raft.LocalApplyThread:
				g.applies = append(g.applies, m)
				g.applyKept()
			default:
				g.sendInTerm(m)
			}
		}
		g.answerReads()
	}
}

// turned takes over who leads.
func (g *group) turned(s *raft.SoftState) {
	g.leader = s.Lead
	led := s.RaftState == raft.StateLeader
	if led == g.led {
		return
	}
	g.led = led
	if led {
		g.ledAt, g.base, g.swept = g.h.now, g.sm.time(), g.h.now
		if g.id == LedgerGroup {
			g.h.resetUpkeep()
			g.h.facts = facts{since: g.h.now, heard: map[uint64]clock.Micros{}, lives: map[uint64]uint64{}, reports: map[uint32]*api.GroupReport{}, told: map[uint32]clock.Micros{}, changed: g.h.now}
		}
		g.h.note(Notice{Kind: NoticeBecameLeader, Group: g.id, Epoch: g.epoch, Number: g.number})
		return
	}
	g.h.note(Notice{Kind: NoticeSteppedDown, Group: g.id, Epoch: g.epoch, Number: g.number})
	for _, reads := range g.asked { // nobody confirms them any more
		g.turnAway(reads)
	}
	clear(g.asked)
	g.turnAway(g.reads)
	g.reads, g.proposed = nil, nil
	clear(g.snapped)
}

func (g *group) turnAway(reads []reading) {
	for _, r := range reads {
		g.h.reply(r.origin, &api.Reply{Status: uint32(statusNotLeader), Leader: g.leaderName()})
	}
}

// leaderName is the gateway that leads, as far as is known here.
func (g *group) leaderName() string {
	if g.led {
		return g.h.cfg.Name
	}
	return g.h.holder(g.id, g.leader)
}

// write puts a message's part into the next write, or deals with it at once where nothing has to be on the disk.
func (g *group) write(m *pb.Message) {
	same := m.Term == nil || m.GetTerm() == g.hard.GetTerm() && m.GetVote() == g.hard.GetVote() && !g.changesVoters(m.GetCommit())
	if len(m.Entries) == 0 && m.Snapshot == nil && same && g.writes == 0 {
		g.done(part{g: g, message: m, responses: m.Responses})
		return
	}
	g.writes++
	g.h.parts = append(g.h.parts, part{g: g, message: m, responses: m.Responses})
}

// changesVoters tells whether a commit goes past a change of the voters that the disk does not know to be committed.
func (g *group) changesVoters(commit uint64) bool {
	last, _ := g.log.LastIndex()
	for ; g.scanned < commit; g.scanned++ {
		var e []*pb.Entry
		if g.scanned < last {
			e, _ = g.log.Entries(g.scanned+1, g.scanned+2, math.MaxUint64)
		}
		if len(e) == 0 || e[0].GetType() != pb.EntryNormal { // one that is not here yet may be one
			g.lastConf = g.scanned + 1
		}
	}
	return g.lastConf > g.kept
}

// applyKept applies what is committed. A change of the voters waits until the disk has its commit: a replica that forgot it in a
// restart would have the voters of before, and if it was alone then, elect itself.
func (g *group) applyKept() {
	for len(g.applies) > 0 {
		m := g.applies[0]
		if slices.ContainsFunc(m.Entries, func(e *pb.Entry) bool { return e.GetType() != pb.EntryNormal && e.GetIndex() > g.kept }) {
			return
		}
		g.applies = g.applies[1:]
		g.apply(m.Entries)
		g.respond(m.Responses)
	}
}

// written is told once a part is on the disk.
func (g *group) written(p part) {
	if m := p.message; m != nil {
		g.kept = max(g.kept, m.GetCommit(), m.Snapshot.GetMetadata().GetIndex())
	}
	g.done(p)
	g.applyKept()
}

// done goes on after a part that is on the disk, or need not be.
func (g *group) done(p part) {
	m := p.message
	if m == nil { // a snapshot of our own
		if first, _ := g.log.FirstIndex(); p.snapshot.GetMetadata().GetIndex() > first+keepEntries {
			g.log.Compact(p.snapshot.GetMetadata().GetIndex() - keepEntries)
		}
		return
	}
	if m.Snapshot != nil {
		if err := g.restore(m.Snapshot); err != nil {
			g.h.fail(fmt.Sprintf("group %d: a snapshot cannot be read: %v", g.id, err))
			return
		}
	}
	if err := g.log.Append(m.Entries); err != nil {
		g.h.fail(fmt.Sprintf("group %d: %v", g.id, err))
		return
	}
	if m.Term != nil {
		g.hard = &pb.HardState{Term: new(m.GetTerm()), Vote: new(m.GetVote()), Commit: new(m.GetCommit())}
		g.log.SetHardState(g.hard)
		held := g.held
		g.held = nil
		for _, m := range held {
			g.sendInTerm(m)
		}
	}
	g.respond(p.responses)
}

// sendInTerm sends a message once the term that it speaks in is on the disk. The library lets a candidate's requests and a new
// leader's entries go before that, and counts only its own vote after it; two other votes make a leader whose disk knows nothing of
// its term. Restarted, it would be voted for again in that term, and put other entries in the places of the first ones.
func (g *group) sendInTerm(m *pb.Message) {
	if t := m.GetType(); t != pb.MsgPreVote && t != pb.MsgPreVoteResp && m.GetTerm() > g.hard.GetTerm() {
		g.held = append(g.held, m)
		return
	}
	g.send(m)
}

// respond hands on what waited for a write or for entries to be applied.
func (g *group) respond(all []*pb.Message) {
	for _, m := range all {
		if m.GetTo() == g.number {
			g.node.Step(m)
		} else {
			g.send(m)
		}
	}
}

// send sends a message to another replica. One that is not sure of itself yet says nothing.
func (g *group) send(m *pb.Message) {
	if g.asking != nil {
		return
	}
	to := g.h.holder(g.id, m.GetTo())
	if to == "" || to == g.h.cfg.Name {
		return
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return
	}
	x := &api.RaftMessage{Group: g.id, Epoch: g.epoch, Message: raw}
	if m.GetType() == pb.MsgSnap {
		g.snapped[m.GetTo()] = g.h.now
		g.h.bulk(to, x)
		return
	}
	p := g.h.packet(to)
	p.Raft = append(p.Raft, x)
}

// heard takes in a message of another replica.
func (g *group) heard(m *pb.Message) {
	if g.asking != nil || m.GetTo() != g.number || raft.IsLocalMsg(m.GetType()) {
		return
	}
	if g.fit(m) {
		g.node.Step(m) // what is of no use is dropped by the library
	}
}

// apply carries entries out.
func (g *group) apply(entries []*pb.Entry) {
	for _, e := range entries {
		g.applied = e.GetIndex()
		g.logBytes += int64(len(e.Data)) + 16
		switch e.GetType() {
		case pb.EntryConfChange, pb.EntryConfChangeV2:
			g.applyChange(e)
		default:
			g.applyEntry(e)
		}
	}
	if g.logBytes > max(g.h.cfg.MinLogBytes, g.snapBytes) && g.asking == nil {
		data := g.sm.snapshot()
		if s, err := g.snapshot(data); err == nil {
			g.logBytes, g.snapBytes = 0, int64(len(data))
			g.h.parts = append(g.h.parts, part{g: g, snapshot: s})
			g.writes++
		}
	}
}

func (g *group) applyChange(e *pb.Entry) {
	if e.GetType() == pb.EntryConfChange {
		var c pb.ConfChange
		if proto.Unmarshal(e.Data, &c) == nil {
			g.conf = g.node.ApplyConfChange(&c)
		}
	} else {
		var c pb.ConfChangeV2
		if proto.Unmarshal(e.Data, &c) == nil {
			g.conf = g.node.ApplyConfChange(&c)
		}
	}
}

func (g *group) applyEntry(e *pb.Entry) {
	if len(e.Data) == 0 {
		return
	}
	var x api.Entry
	if proto.Unmarshal(e.Data, &x) != nil {
		return // nobody can read it
	}
	for _, c := range x.Commands {
		if c.Format > g.h.cfg.Format { // whoever understands it goes on otherwise than this replica would
			g.h.fail(fmt.Sprintf("group %d: %v", g.id, errFormat))
			return
		}
	}
	for i, r := range g.sm.apply(e.GetIndex(), &x) {
		k := slot{x.Commands[i].Client, x.Commands[i].Sequence}
		if o, waits := g.waiting[k]; waits {
			delete(g.waiting, k)
			g.h.reply(o, r)
		}
	}
	if l, is := g.sm.(*ledger); is {
		g.h.learn(l.Ledger, false)
		if g.led {
			for _, n := range l.notices {
				g.h.note(n)
			}
		}
	}
}

// answerReads answers the reads whose time has come.
func (g *group) answerReads() {
	for len(g.behind) > 0 && g.behind[0].index <= g.applied {
		for _, r := range g.behind[0].reads {
			switch s := g.sm.(type) {
			case *shard:
				g.h.reply(r.origin, s.get(r.key))
			case *ledger:
				g.h.reply(r.origin, &api.Reply{Value: g.h.listing(s.Ledger), Found: true})
			}
		}
		g.behind = g.behind[1:]
	}
}

// logTime is the group's time by the leader that runs: it goes on from where it was by how long this one has led, so that no
// clock that was set has any say in it, and a time without a leader does not count.
func (g *group) logTime() clock.Micros { return max(g.sm.time(), g.base+g.h.now-g.ledAt) }

// call takes in a command or a read.
func (g *group) call(o origin, c *api.Call) {
	status := StatusOK
	switch shard, _ := g.sm.(*shard); {
	case !g.led || g.asking != nil || g.h.leaving:
		status = statusNotLeader
	case c.Command == nil && c.Get == nil, shard == nil && c.Get == nil && c.Command.GetChange().GetMaintenanceCommand() == nil, shard != nil && c.Command.GetChange() != nil:
		status = StatusInvalid
	case c.Get != nil:
		g.reads = append(g.reads, reading{o, c.Get.Key})
		return
	case len(g.conf.Voters) < int(g.h.view.GetVotersPerGroup()):
		status = statusNotLeader // nothing is promised before there are as many copies as were promised
	case c.Command.Format > max(g.h.view.GetFormat(), FirstFormat):
		status = StatusFormatTooNew
	default:
		g.waiting[slot{c.Command.Client, c.Command.Sequence}] = o
		g.proposed = append(g.proposed, c.Command)
		return
	}
	g.h.reply(o, &api.Reply{Status: uint32(status), Leader: g.leaderName()})
}

// propose puts all commands of a moment into one entry, and has one question confirm all reads of it.
func (g *group) propose() {
	if len(g.proposed) > 0 && g.led {
		if !g.enter(g.proposed) {
			for _, c := range g.proposed {
				k := slot{c.Client, c.Sequence}
				if o, waits := g.waiting[k]; waits {
					delete(g.waiting, k)
					g.h.reply(o, &api.Reply{Status: uint32(statusNotLeader)})
				}
			}
		}
	}
	g.proposed = nil
	if len(g.reads) > 0 && g.led {
		g.readNo++
		g.asked[g.readNo] = g.reads
		g.reads = nil
		g.node.ReadIndex(appendNumber(nil, g.readNo))
	}
}

// enter proposes an entry. It tells whether the library took it.
func (g *group) enter(commands []*api.Command) bool {
	raw, err := proto.Marshal(&api.Entry{Time: int64(g.logTime()), Commands: commands})
	return err == nil && g.node.Propose(raw) == nil
}

// tick lets the library's time pass, and looks after what a leader has to.
func (g *group) tick() {
	if g.asking != nil {
		g.askAround()
		return
	}
	if g.floor != (entry{}) && !g.last().before(g.floor) {
		g.floor = entry{}
	}
	if g.floor == (entry{}) {
		g.node.Tick()
	}
	for k, o := range g.waiting {
		if g.h.now > o.by {
			delete(g.waiting, k)
		}
	}
	if !g.led {
		return
	}
	if s, is := g.sm.(*shard); is && s.due(g.logTime()) && g.h.now-g.swept >= 10*g.h.cfg.Tick {
		g.swept = g.h.now
		g.enter(nil)
	}
	for number, at := range g.snapped {
		if g.h.now-at > snapshotTicks*g.h.cfg.Tick {
			delete(g.snapped, number)
			g.node.ReportSnapshot(number, raft.SnapshotFailure)
		}
	}
	g.reshape()
}

// reshape brings the group's replicas nearer to what the ledger has assigned.
func (g *group) reshape() {
	x := groupIn(g.h.view, g.id)
	if x == nil || x.Epoch != g.epoch || len(g.conf.VotersOutgoing) > 0 {
		return
	}
	want, learner := target(x), uint64(0)
	if x.Adding != nil && !slices.Contains(g.conf.Voters, x.Adding.Id) {
		learner = x.Adding.Id
	}
	var changes []*pb.ConfChangeSingle
	change := func(t pb.ConfChangeType, number uint64) {
		changes = append(changes, &pb.ConfChangeSingle{Type: t.Enum(), NodeId: new(number)})
	}
	for _, n := range g.conf.Learners {
		if n != learner {
			change(pb.ConfChangeRemoveNode, n)
		}
	}
	switch {
	case learner == 0:
		// Nobody is taken in. What the ledger no longer names goes, once enough others are there.
		if x.Adding != nil {
			break
		}
	case !slices.Contains(g.conf.Learners, learner):
		change(pb.ConfChangeAddLearnerNode, learner)
	case g.near(learner):
		// In one step: the new one votes, and whoever leaves does not. There are never fewer voters than before.
		change(pb.ConfChangeAddNode, learner)
		for _, n := range g.conf.Voters {
			if !slices.Contains(want, n) {
				change(pb.ConfChangeRemoveNode, n)
			}
		}
	}
	if len(changes) > 0 {
		g.node.ProposeConfChange(&pb.ConfChangeV2{Changes: changes}) // one at a time; the library refuses the next
	}
}

// near tells whether a replica has nearly all that is committed.
func (g *group) near(number uint64) bool {
	last, _ := g.log.LastIndex()
	near := false
	g.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id == number {
			near = pr.RecentActive && pr.Match+nearEntries >= last
		}
	})
	return near
}

// handOver has the replica lead that is nearest. It tells whether there is one.
func (g *group) handOver(to uint64) bool {
	if to == 0 {
		best := uint64(0)
		g.node.WithProgress(func(id uint64, t raft.ProgressType, pr tracker.Progress) {
			if id != g.number && t == raft.ProgressTypePeer && pr.RecentActive && pr.Match > best {
				best, to = pr.Match, id
			}
		})
	}
	if to != 0 {
		g.node.TransferLeader(to)
	}
	return to != 0
}

// report is what the ledger's leader is told.
func (g *group) report() *api.GroupReport {
	r := &api.GroupReport{
		Group: g.id, Epoch: g.epoch, Term: g.node.BasicStatus().GetTerm(), Voters: g.conf.Voters, Learners: g.conf.Learners,
		Joint: len(g.conf.VotersOutgoing) > 0,
	}
	last, _ := g.log.LastIndex()
	g.node.WithProgress(func(id uint64, t raft.ProgressType, pr tracker.Progress) {
		if id != g.number && t == raft.ProgressTypePeer && pr.Match+keepEntries < last {
			r.Lagging = true
		}
	})
	return r
}
