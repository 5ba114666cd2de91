package golden

import (
	"fmt"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/maintenance"
	"marblespan/internal/raftstore"
)

// The samples give numbers and the states of machines as literals, because the content of a disk must not change when a constant
// in the code does.
const (
	clusterID   = 0xf00dfeed
	incarnation = 1_790_000_000_000_000 // microseconds of Unix time
)

// order returns a maintenance order with machines of each kind and in each state.
func order() *api.Order {
	o := &api.Order{
		Paused: true, LastId: 8, Excused: []string{"gw-7"}, Sessions: []*api.ClientSession{{Client: 11, Sequence: 2, Ok: true, Answer: "gw-1 is number 1 in the order"}},
		Roster: []*api.Enrollment{{Name: "gw-1", Incarnation: incarnation + 1}},
		Machines: []*api.Machine{{
			Id: 20, Kind: 1, Name: "db-1", Group: -1, Zone: "a", State: 3, Revision: 4, ChangeIndex: 17, Since: 1_000, OutSince: 900, Duration: 600_000_000, Incarnation: incarnation, Comment: "a new kernel",
			RequestedBy: "gw-2", Overdue: true,
		}},
	}
	for state := range uint32(7) {
		o.Machines = append(o.Machines, &api.Machine{Id: uint64(2 + state), Name: fmt.Sprint("gw-", state), State: state, Overridden: state == 3})
	}
	return o
}

// ledger returns a ledger with three groups of voters: its own, that of a shard, and that of a shard whose voters are being changed.
func ledger() *api.Ledger {
	return &api.Ledger{
		ClusterId: clusterID, Index: 40, Time: 5_000_000, VotersPerGroup: 3, NextMember: 12, Format: 2, Order: order(),
		Stores: []*api.Store{
			{Id: 71, Name: "gw-1", Zone: "a", Weight: 2, Format: 2}, {Id: 72, Name: "gw-2", Zone: "b", Weight: 1, Format: 2},
			{Id: 73, Name: "gw-3", Zone: "c", Weight: 1, Format: 2}, {Id: 74, Name: "gw-4", Weight: 1, Removed: true, Format: 1},
		},
		Groups: []*api.Group{
			{Epoch: 1, FirstMember: 1, Voters: []*api.GroupMember{{Id: 1, Store: 71, Incarnation: incarnation}, {Id: 4, Store: 72, Incarnation: incarnation}, {Id: 5, Store: 73, Incarnation: incarnation}}},
			{Epoch: 1, FirstMember: 2, Voters: []*api.GroupMember{{Id: 2, Store: 71, Incarnation: incarnation}, {Id: 6, Store: 72, Incarnation: incarnation}, {Id: 7, Store: 73, Incarnation: incarnation}}},
			{
				Epoch: 2, FirstMember: 8, Voters: []*api.GroupMember{{Id: 8, Store: 71, Incarnation: incarnation}, {Id: 9, Store: 72, Incarnation: incarnation}, {Id: 10, Store: 74, Stale: true, Incarnation: incarnation}},
				Adding: &api.GroupMember{Id: 11, Store: 73, Incarnation: incarnation}, Removing: 10, LostAt: 4_000_000,
			},
		},
	}
}

// shard returns a shard's state: a record of each kind (a booking and the position of a session), and the results that are kept
// for two clients.
func shard() *api.Shard {
	return &api.Shard{
		Time: 6_000_000, LostAt: 3_000_000, LastVersion: 1<<40 + 7, Format: 2,
		Records: []*api.Record{
			{Key: []byte("booking \x01\x02\x03"), Value: []byte(`{"state":1,"owner":"gw-1"}`), Version: 1<<40 + 6, ExpiresAt: 90_000_000, ChangedAt: 5_500_000},
			{Key: []byte("session \x00\x00\x00\x02\x00\x00\x00\x00\x00\x00\x00\x09"), Version: 1<<40 + 7, Position: 4_711, IsPosition: true, ExpiresAt: 91_000_000, ChangedAt: 5_600_000},
		},
		Clients: []*api.Client{
			{Id: 11, LastSeen: 5_500_000, MinPending: 3, Results: []*api.Result{
				{Sequence: 3, Version: 1<<40 + 6, LostBefore: 3_000_000}, {Sequence: 4, Status: 1, Version: 1<<40 + 5}, {Sequence: 5, Status: 2}}},
			{Id: 12, LastSeen: 5_600_000, Results: []*api.Result{{Sequence: 1, Version: 1<<40 + 7, Position: 4_711}}},
		},
	}
}

// commands returns commands of each kind that a log can hold. Those of the ledger begin at the fourth.
func commands() []*api.Command {
	all := []*api.Command{
		{Client: 11, Sequence: 6, MinPending: 5, Put: &api.Put{Key: []byte("k"), Value: []byte("v"), Conditional: true, Version: 1 << 40, Ttl: 60_000_000}},
		{Client: 11, Sequence: 7, Put: &api.Put{Key: []byte("k"), Delete: true}},
		{Client: 12, Sequence: 2, Format: 1, RaisePosition: &api.RaisePosition{Key: []byte("m"), Position: 5_000, Ttl: 60_000_000}},
	}
	for _, change := range []*api.Change{
		{Bootstrap: &api.Bootstrap{ClusterId: clusterID, Shards: 2, VotersPerGroup: 3, Store: &api.Store{Id: 71, Name: "gw-1"}, First: true, Incarnation: incarnation}},
		{JoinStore: &api.Store{Id: 75, Name: "gw-5", Zone: "b", Weight: 3, Format: 2}},
		{RemoveStore: 74},
		{AddMember: &api.AddMember{Group: 2, Epoch: 3, Store: 73, Removing: 10, Incarnation: incarnation}},
		{SetVoters: &api.SetVoters{Group: 2, Epoch: 3, Voters: []uint64{8, 9, 11}}},
		{ResetGroup: &api.ResetGroup{Group: 1, Epoch: 2, Store: 72, Incarnation: incarnation, Forced: true}},
		{MarkStale: &api.MemberRef{Group: 1, Epoch: 2, Member: 7}},
		{RaiseFormat: 2},
		{MaintenanceCommand: &api.MaintenanceCommand{Verb: 2, Kind: 1, Name: "db-2", Group: 2, Duration: 600_000_000, Comment: "a new disk", RequestedBy: "gw-3"}},
		{MaintenanceStep: &api.MaintenanceStep{Id: 2, Revision: 3, To: 1, Incarnation: incarnation, Zone: "a", MaxGateways: 4, MaxPerZone: 5, MaxServers: 6}},
		{MaintenanceStep: &api.MaintenanceStep{Id: 5, Overdue: true}},
		{MaintenanceStep: &api.MaintenanceStep{Id: 5, Override: true}},
		{MaintenanceStep: &api.MaintenanceStep{Unexcuse: "gw-7"}},
		{MaintenanceStep: &api.MaintenanceStep{Enroll: &api.Enrollment{Name: "gw-2", Incarnation: incarnation + 2}}},
		{MaintenanceStep: &api.MaintenanceStep{Unenroll: &api.Enrollment{Name: "gw-1", Incarnation: incarnation + 1}}},
	} {
		all = append(all, &api.Command{Client: 13, Sequence: uint64(len(all)), Format: 2, Change: change})
	}
	return all
}

// raftEntries returns the entries of a log from an index on: an entry without commands, one with commands, and two configuration
// changes, one in each of Raft's two formats.
func raftEntries(index uint64, commands []*api.Command) []*pb.Entry {
	added := pb.ConfChangeSingle{Type: pb.ConfChangeAddLearnerNode.Enum(), NodeId: new(uint64(22))}
	return []*pb.Entry{
		{Index: new(index), Term: new(uint64(3))},
		{Index: new(index + 1), Term: new(uint64(3)), Data: encode(&api.Entry{Time: 7_000_000, Commands: commands})},
		{Index: new(index + 2), Term: new(uint64(3)), Type: pb.EntryConfChange.Enum(), Data: encode(&pb.ConfChange{
			Type: pb.ConfChangeAddLearnerNode.Enum(), NodeId: new(uint64(21)), Context: []byte("c")})},
		{Index: new(index + 3), Term: new(uint64(4)), Type: pb.EntryConfChangeV2.Enum(), Data: encode(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{&added}})},
	}
}

// raftSnapshot returns a snapshot of a group's state up to an index.
func raftSnapshot(index uint64, data []byte, voters ...uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: new(index), Term: new(uint64(3)), ConfState: &pb.ConfState{Voters: voters}}}
}

// raftMessages returns a packet with one Raft message of each kind that replicas send to each other.
func raftMessages() *api.Packet {
	p := &api.Packet{}
	for _, kind := range []pb.MessageType{
		pb.MsgApp, pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgSnap, pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgTimeoutNow, pb.MsgPreVote, pb.MsgPreVoteResp,
	} {
		m := &pb.Message{
			Type: kind.Enum(), To: new(uint64(1)), From: new(uint64(2)), Term: new(uint64(3)), LogTerm: new(uint64(4)), Index: new(uint64(40)), Commit: new(uint64(39)),
		}
		switch kind {
		case pb.MsgApp:
			m.Entries = raftEntries(41, commands()[:3])
		case pb.MsgAppResp:
			m.Reject, m.RejectHint = new(true), new(uint64(38))
		case pb.MsgSnap:
			m.Snapshot = raftSnapshot(40, encode(shard()), 2, 6, 7)
		case pb.MsgHeartbeat, pb.MsgVote:
			m.Context = []byte("context")
		}
		p.Raft = append(p.Raft, &api.RaftMessage{Group: 1, Epoch: 2, Message: encode(m)})
	}
	return p
}

// samples returns the messages whose encodings are kept in golden files: packets of every kind, and the content of disks and logs.
func samples() []sample {
	packet := func(p *api.Packet) *api.Packet {
		p.Version, p.ClusterId, p.Store, p.Incarnation, p.LedgerIndex, p.LedgerLeader = 1, clusterID, 72, incarnation, 40, "gw-1"
		return p
	}
	put, get := commands()[0], &api.Get{Key: []byte("k")}
	return []sample{
		{"ledger", ledger()},
		{"shard", shard()},
		{"entry", &api.Entry{Time: 7_000_000, Commands: commands()}},
		{"listing", &api.Listing{Order: order(), Waits: map[uint64]string{2: "its turn"}, Leader: "gw-1", Time: 5_000_000}},
		{"packet-raft", packet(raftMessages())},
		{"packet-asks", packet(&api.Packet{RecoveryQueries: []*api.RecoveryQuery{{Group: 1, Epoch: 2, Member: 5, Peer: 6, Term: 3, Index: 40}}})},
		{"packet-knowns", packet(&api.Packet{RecoveryReplies: []*api.RecoveryReply{{
			Group: 1, Epoch: 2, Member: 5, Peer: 6, Stale: true, Term: 4, LastTerm: 3, LastIndex: 39, Applied: 38, Voters: []uint64{2, 6, 7},
			PendingVoters: []*api.PendingVoter{{Member: 11, Index: 41}},
		}}})},
		{"packet-calls", packet(&api.Packet{Calls: []*api.Call{{Id: 8, Group: 1, Command: put}, {Id: 9, Group: 1, Get: get}}})},
		{"packet-replies", packet(&api.Packet{Replies: []*api.Reply{
			{Id: 1, Status: 7, Leader: "gw-2"},
			{Id: 2, Version: 1<<40 + 6, Value: []byte("v"), Position: 4_711, Found: true, LostBefore: 3_000_000, Time: 6_000_000, Age: 500_000},
		}})},
		{"packet-news", packet(&api.Packet{LedgerUpdate: ledger()})},
		{"packet-announce", packet(&api.Packet{StoreHeartbeat: &api.StoreHeartbeat{
			Name: "gw-2", Zone: "b", Weight: 1, Failed: true, StaleMembers: []*api.MemberRef{{Group: 1, Epoch: 2, Member: 6}}, Format: 2,
		}})},
		{"packet-reports", packet(&api.Packet{GroupReports: []*api.GroupReport{
			{Group: 1, Epoch: 2, Term: 3, Voters: []uint64{2, 6}, Learners: []uint64{7}, Joint: true}, {Group: 2, Lagging: true},
		}})},
		{"packet-past", packet(&api.Packet{KnownIncarnation: incarnation + 1})},
		{"packet-fact", packet(&api.Packet{GatewayReport: &api.GatewayReport{
			Incarnation: incarnation, Zone: "b", LedgerIndex: 40, Ready: true, Load: 250, FloatingGroups: []string{"192.0.2.10"}, Quiesced: []uint64{1},
			Servers: []*api.ServerReport{{Group: 2, Name: "db-1", Primary: true}, {Name: "db-2", Down: true}, {Name: "db-3", WarmingUp: true}, {Name: "db-4", Lagging: true}},
		}})},
		{"packet-fact-idle", packet(&api.Packet{GatewayReport: &api.GatewayReport{Incarnation: incarnation, Idle: true}})},
		{"packet-fact-leads", packet(&api.Packet{GatewayReport: &api.GatewayReport{Incarnation: incarnation, Leads: true}})},
		{"packet-recovery-start", packet(&api.Packet{
			RecoveryQueries: []*api.RecoveryQuery{{Group: 1, Epoch: 2, Member: 5, Peer: 6, Start: 77}},
			RecoveryReplies: []*api.RecoveryReply{{Group: 1, Epoch: 2, Member: 6, Peer: 5, Start: 78}},
		})},
	}
}

// sample is a message and the name of its golden file.
type sample struct {
	name    string
	message proto.Message
}

// encode returns the deterministic encoding of a message.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // only an invalid sample can cause this
	}
	return b
}

func TestCopiesMessages(t *testing.T) {
	for _, c := range samples() {
		t.Run(c.name, func(t *testing.T) {
			file := golden(t, "copies/"+c.name, encode(c.message))
			got := c.message.ProtoReflect().New().Interface()
			if err := proto.Unmarshal(file, got); err != nil || !proto.Equal(got, c.message) {
				t.Errorf("decoded as %v\n%v\nwant\n%v", err, got, c.message)
			}
		})
	}
}

// coverage records which fields the samples set, and which pairs of fields of the same type have different values in at least one
// message of the samples.
type coverage struct {
	set    map[protoreflect.FullName]bool
	differ map[[2]protoreflect.FullName]bool
}

// record adds a message and all messages within it.
func (c coverage) record(m protoreflect.Message) {
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		c.set[field.FullName()] = true
		switch {
		case field.Message() == nil || field.IsMap():
		case field.IsList():
			for i := range value.List().Len() {
				c.record(value.List().Get(i).Message())
			}
		default:
			c.record(value.Message())
		}
		return true
	})
	eachPair(m.Descriptor(), func(a, b protoreflect.FieldDescriptor) {
		if !m.Get(a).Equal(m.Get(b)) {
			c.differ[[2]protoreflect.FullName{a.FullName(), b.FullName()}] = true
		}
	})
}

// eachPair calls do for every pair of fields of a message that have the same type. If the field numbers of such a pair were
// swapped, a message with the same value in both fields would not show it.
func eachPair(m protoreflect.MessageDescriptor, do func(a, b protoreflect.FieldDescriptor)) {
	for i := range m.Fields().Len() {
		for j := range i {
			if a, b := m.Fields().Get(j), m.Fields().Get(i); a.Kind() == b.Kind() && a.Cardinality() == b.Cardinality() && a.Message() == b.Message() {
				do(a, b)
			}
		}
	}
}

// Every field of every message is set in at least one golden file. Any two fields of a message that have the same type have
// different values in at least one.
func TestCopiesFieldsAreComplete(t *testing.T) {
	c := coverage{map[protoreflect.FullName]bool{}, map[[2]protoreflect.FullName]bool{}}
	for _, x := range samples() {
		c.record(x.message.ProtoReflect())
	}
	messages := (&api.Packet{}).ProtoReflect().Descriptor().ParentFile().Messages()
	for i := range messages.Len() {
		m := messages.Get(i)
		for j := range m.Fields().Len() {
			if name := m.Fields().Get(j).FullName(); !c.set[name] {
				t.Errorf("%s is not set in any golden file", name)
			}
		}
		eachPair(m, func(a, b protoreflect.FieldDescriptor) {
			if !c.differ[[2]protoreflect.FullName{a.FullName(), b.FullName()}] {
				t.Errorf("%s and %s have equal values in all golden files", a.FullName(), b.FullName())
			}
		})
	}
}

// A gateway without any state decodes the ledger from the golden packet-news. The call that it sends equals the golden host-call.
func TestHostReadsAndSends(t *testing.T) {
	host, err := raftstore.New(raftstore.Config{Name: "gw-9", Tick: 100_000, MaxCalls: 10, ClientID: 11, FirstCallID: 1, Incarnation: incarnation, Maintenance: &maintenance.Limits{}}, 1_000_000, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	ledgerUpdate := samples()[9]
	if ledgerUpdate.name != "packet-news" {
		t.Fatalf("the tenth sample is %s", ledgerUpdate.name)
	}
	host.Handle(1_000_000, raftstore.PacketReceived{From: "gw-1", Body: golden(t, "copies/packet-news", encode(ledgerUpdate.message))})
	host.Flush()
	if overview := host.Overview(); overview.ClusterID != clusterID || overview.Index != 40 || overview.VotersPerGroup != 3 || overview.Format != 2 || len(overview.Stores) != 4 || len(overview.Groups) != 3 {
		t.Errorf("the ledger was decoded as %+v", overview)
	}
	machines := host.Order().Machines
	if len(machines) != 8 {
		t.Fatalf("the order was decoded as %+v", machines)
	}
	if first := machines[0]; first.Kind != maintenance.Server || first.State != maintenance.Out || first.Comment != "a new kernel" {
		t.Errorf("the order was decoded as %+v", machines)
	}
	for i, state := range []maintenance.State{
		maintenance.Requested, maintenance.Next, maintenance.Draining, maintenance.Out, maintenance.Returning, maintenance.Back, maintenance.Canceled,
	} {
		if m := machines[i+1]; m.State != state || m.Kind != maintenance.Gateway {
			t.Errorf("machine %d was decoded as %+v", m.ID, m)
		}
	}
	put := commands()[0].Put
	host.Handle(1_000_001, raftstore.Request{ID: 1, Shard: 1, Command: &api.Command{Put: put}, Deadline: 9_000_000})
	for _, action := range host.Flush() {
		if send, ok := action.(raftstore.Send); ok {
			golden(t, "copies/host-call", send.Body)
			return
		}
	}
	t.Error("no call was sent")
}

// The numbers and strings that messages and logs contain keep their meaning. TestHostReadsAndSends checks the states of machines.
func TestNumbers(t *testing.T) {
	for number, status := range []raftstore.Status{raftstore.StatusOK, raftstore.StatusConflict, raftstore.StatusFull, raftstore.StatusInvalid, raftstore.StatusDeadlineExceeded, raftstore.StatusNotSent, raftstore.StatusFormatTooNew} {
		if int(status) != number {
			t.Errorf("the status %v is %d, want %d", status, status, number)
		}
	}
	for i, verb := range []maintenance.Verb{maintenance.Add, maintenance.Done, maintenance.Cancel, maintenance.Pause, maintenance.Resume} {
		if int(verb) != i+1 {
			t.Errorf("the verb is %d, want %d", verb, i+1)
		}
	}
	if raftstore.Statuses != 8 || raftstore.FirstFormat != 1 || raftstore.MaintenanceFormat != 2 || raftstore.LedgerGroup != 0 || raftstore.MaintenanceKey != "maintenance" {
		t.Error("the statuses, the formats, the ledger's number or the key of the order have changed")
	}
}

// The shard to which a key belongs does not change.
func TestShardOf(t *testing.T) {
	for _, c := range []struct {
		key    string
		shards int
		want   uint32
	}{{"k", 16, 4}, {"session \x00\x00\x00\x02\x00\x00\x00\x00\x00\x00\x00\x09", 16, 9}, {"booking \x01\x02\x03", 64, 38}} {
		if got := raftstore.ShardOf([]byte(c.key), c.shards); got != c.want {
			t.Errorf("%q is in shard %d of %d, want %d", c.key, got, c.shards, c.want)
		}
	}
}
