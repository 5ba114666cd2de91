package statestore

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/experiments/report"
	"marblespan/internal/raftstorage"
	"marblespan/internal/raftstore"
	"marblespan/internal/testcluster"
)

// Options say what is measured.
type Options struct {
	Binary          string
	LoadDuration    time.Duration // of each load
	Callers         int
	RepairedRecords int // records that are healed
	StoredRecords   int // records that a start reads
	LeaderFaults    int // of a leader, of each kind
	IdleGateways    []int
	Seed            uint64
	Progress        io.Writer
}

// Defaults are the sizes of the operators' question.
func Defaults() Options {
	return Options{
		Binary: "bin/marblespan", LoadDuration: 5 * time.Second, Callers: 256, RepairedRecords: 100_000, StoredRecords: 1_000_000, LeaderFaults: 10, IdleGateways: []int{3, 9, 32},
		Seed: 1, Progress: io.Discard,
	}
}

// Result is all that was measured.
type Result struct {
	Loads   []Load
	Heals   []Heal
	Gaps    []Gap
	Rest    []int64 // bytes a second and gateway, by Options.Rest
	Opened  time.Duration
	Made    time.Duration
	OnDisk  int64 // bytes of the file
	InHeap  int64 // bytes that the records hold
	Counted int64 // bytes that they are counted as
}

// Load is one load.
type Load struct {
	Disk           bool
	Copies, Shards int
	Callers        int
	Rate           float64
	Failed         int64
	Spans          *report.Spans
}

// Heal is one holder lost and replaced, under load.
type Heal struct {
	Disk          bool
	Records       int
	Took          time.Duration // from the first replica that gets another holder
	Before, After *report.Spans // of promises, before and meanwhile
	Failed        int64
}

// Gap is how long shards had no leader.
type Gap struct {
	Kind  string
	Spans *report.Spans
	Count int
}

// Run measures.
func Run(o Options) (r Result, err error) {
	for _, disk := range []bool{false, true} {
		for _, s := range []shape{{1, 1, 16, disk, time.Hour}, {3, 3, 1, disk, time.Hour}, {3, 3, 16, disk, time.Hour}, {3, 3, 64, disk, time.Hour}, {5, 5, 16, disk, time.Hour}} {
			for _, callers := range []int{1, o.Callers} {
				l, err := one(s, callers, o.LoadDuration)
				if err != nil {
					return r, err
				}
				r.Loads = append(r.Loads, l)
				fmt.Fprintf(o.Progress, "disk %v, %d copies, %d shards, %d callers: %.0f a second\n", disk, s.copies, s.shards, callers, l.Rate)
			}
		}
	}
	for _, disk := range []bool{false, true} {
		h, err := healed(o, disk)
		if err != nil {
			return r, err
		}
		r.Heals = append(r.Heals, h)
		fmt.Fprintf(o.Progress, "disk %v: %d records healed in %v\n", disk, h.Records, h.Took)
	}
	for _, n := range o.IdleGateways {
		c, err := newCluster(shape{n, 3, 16, false, time.Hour})
		if err != nil {
			return r, err
		}
		time.Sleep(10 * time.Second) // until placement is at rest
		before := c.sent()
		time.Sleep(5 * time.Second)
		r.Rest = append(r.Rest, (c.sent()-before)/5/int64(n))
		c.close()
		fmt.Fprintf(o.Progress, "%d gateways at rest: %d bytes a second each\n", n, r.Rest[len(r.Rest)-1])
	}
	if err := r.recover(o); err != nil {
		return r, err
	}
	fmt.Fprintf(o.Progress, "%d records read in %v\n", o.StoredRecords, r.Opened+r.Made)
	for _, kind := range []string{"kill", "term", "stop"} {
		g, err := gaps(o, kind)
		if err != nil {
			return r, err
		}
		r.Gaps = append(r.Gaps, g)
		fmt.Fprintf(o.Progress, "%s: %d gaps\n", kind, g.Count)
	}
	return r, nil
}

func one(s shape, callers int, span time.Duration) (Load, error) {
	c, err := newCluster(s)
	if err != nil {
		return Load{}, err
	}
	defer c.close()
	c.load(callers, span/5, 10_000) // until connections stand and leaders are known
	l := c.load(callers, span, 10_000)
	return Load{s.disk, s.copies, s.shards, callers, float64(l.promised.Load()) / l.took.Seconds(), l.failed.Load(), l.spans}, nil
}

// healed fills a store, takes a holder away for good, and waits until all copies are there again, under a light load.
func healed(o Options, disk bool) (h Heal, err error) {
	c, err := newCluster(shape{5, 3, 16, disk, 2 * time.Second})
	if err != nil {
		return h, err
	}
	defer c.close()
	h = Heal{Disk: disk, Records: o.RepairedRecords}
	for begin := time.Now(); ; {
		l := c.load(o.Callers, time.Second, o.RepairedRecords)
		if o := c.nodes[0].holders.Overview(); records(o)*len(c.nodes) >= h.Records*3*9/10 || time.Since(begin) > time.Minute || l.promised.Load() == 0 {
			break
		}
	}
	const light = 8
	h.Before = c.load(light, o.LoadDuration, o.RepairedRecords).spans
	c.end(c.most())
	done := make(chan *load)
	go func() { done <- c.load(light, 3*time.Second+o.LoadDuration, o.RepairedRecords) }()
	if !c.nodes[0].holders.AwaitIncomplete(30 * time.Second) {
		return h, fmt.Errorf("nobody has noticed the loss")
	}
	begin := time.Now()
	if !c.nodes[0].holders.AwaitComplete(2 * time.Minute) {
		return h, fmt.Errorf("the copies of %d records were not whole again", o.RepairedRecords)
	}
	h.Took = time.Since(begin)
	l := <-done
	h.After, h.Failed = l.spans, l.failed.Load()
	return h, nil
}

// most is the gateway, beside the first, that has the most replicas: one that joined last may have none yet, and nobody would
// miss it.
func (c *cluster) most() (best int) {
	held := map[string]int{}
	for _, g := range c.nodes[0].holders.Overview().Groups {
		for _, r := range g.Voters {
			held[r.Name]++
		}
	}
	best = 1
	for i, m := range c.nodes[1:] {
		if held[m.name] > held[c.nodes[best].name] {
			best = i + 1
		}
	}
	return best
}

// records is how many records a gateway's replicas have.
func records(o raftstore.Overview) (n int) {
	for _, g := range o.Groups {
		if g.Local != nil {
			n += g.Local.Records
		}
	}
	return n
}

// recover writes a file with many records and reads it as a start does.
func (r *Result) recover(o Options) error {
	dir, err := os.MkdirTemp("", "recover")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "copies.db")
	f, _, err := raftstorage.Open(path)
	if err != nil {
		return err
	}
	const shards = 16
	w := raftstore.Write{Store: 7, Incarnation: 1}
	for i := range uint32(shards) {
		s := &api.Shard{Time: 1}
		for n := range o.StoredRecords / shards {
			s.Records = append(s.Records, &api.Record{
				Key: fmt.Appendf(nil, "session %08d", n*shards+int(i)), IsPosition: true, Position: uint64(1_700_000_000_000_000 + n), Version: uint64(n), ExpiresAt: 1 << 50,
			})
		}
		data, err := proto.Marshal(s)
		if err != nil {
			return err
		}
		w.Members = append(w.Members, raftstore.MemberWrite{
			Group: i + 1, Epoch: 1, Member: uint64(i + 2), HardState: &pb.HardState{Term: new(uint64(2)), Vote: new(uint64(0)), Commit: new(uint64(9))},
			Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: new(uint64(9)), Term: new(uint64(2)), ConfState: &pb.ConfState{Voters: []uint64{uint64(i + 2), 1000}}}},
		})
	}
	if err := f.Write(w); err != nil {
		return err
	}
	f.Close()
	w = raftstore.Write{}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	r.OnDisk = info.Size()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begin := time.Now()
	f, stored, err := raftstorage.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	r.Opened = time.Since(begin)
	h, err := raftstore.New(raftstore.Config{
		Name: "g1", RunsGroups: true, Tick: 100_000, RepairAfter: 10_000_000, MaxRepairs: 1, MinLogBytes: 1 << 20, MaxShardBytes: 1 << 30, MaxCalls: 1, ClientID: 1,
		NewStoreID: 1, NewClusterID: 1, Incarnation: 2,
	}, 1, stored, true)
	if err != nil {
		return err
	}
	r.Made = time.Since(begin) - r.Opened
	stored = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	r.InHeap = int64(after.HeapAlloc) - int64(before.HeapAlloc)
	r.Counted = h.RecordBytes()
	runtime.KeepAlive(h)
	return nil
}

// gaps takes leaders away from real gateways, and reads in their logs how long their shards had none.
func gaps(o Options, kind string) (g Gap, err error) {
	opts := testcluster.Defaults()
	opts.Binary, opts.Nodes, opts.Seed, opts.Copies = o.Binary, 5, o.Seed, testcluster.DefaultCopies()
	opts.Copies.Shards, opts.Copies.HealAfter = 16, 30*time.Second
	f, err := testcluster.New(opts)
	if err != nil {
		return g, err
	}
	defer f.Close()
	g = Gap{Kind: kind, Spans: report.NewSpans()}
	l := f.Load(testcluster.LoadOptions{Bookers: 4, Mine: 2, Think: 10 * time.Millisecond})
	defer l.Stop()
	for range o.LeaderFaults {
		n := f.LeaderOf(1)
		if n == nil {
			time.Sleep(time.Second)
			continue
		}
		x, err := testcluster.ParseFault(fmt.Sprintf("at 0s %s %d", kind, n.Number))
		if err != nil {
			return g, err
		}
		led := leads(f.History.Events(), n.Number)
		begin := f.History.Now()
		undo, err := f.Begin(x)
		if err != nil {
			return g, err
		}
		var late int64
		if err := f.History.Await("all shards are led again", 30*time.Second, func(all []testcluster.Event) bool {
			next := map[string]int64{}
			for _, e := range all {
				if e.At > begin && e.Kind == testcluster.Belief && e.What == "copies leads" && e.Node != n.Number && next[e.Server] == 0 {
					next[e.Server] = e.At
				}
			}
			late = int64(len(next))
			for group := range led {
				if next[group] == 0 {
					return false
				}
			}
			for group := range led {
				g.Spans.Add(next[group] - begin)
				g.Count++
			}
			return true
		}); err != nil {
			return g, fmt.Errorf("%w (%d of %d)", err, late, len(led))
		}
		if err := undo(); err != nil {
			return g, err
		}
		if err := f.AwaitReady(30 * time.Second); err != nil {
			return g, err
		}
		if err := f.AwaitWhole(30 * time.Second); err != nil {
			return g, err
		}
	}
	return g, nil
}

// leads are the groups that a gateway leads at the end of a history.
func leads(all []testcluster.Event, node int) map[string]bool {
	led := map[string]bool{}
	for _, e := range all {
		switch {
		case e.Node != node:
		case e.Kind == testcluster.Process && e.What == "started":
			clear(led)
		case e.Kind == testcluster.Belief && e.What == "copies leads":
			led[e.Server] = true
		case e.Kind == testcluster.Belief && (e.What == "copies leads_no_more" || e.What == "copies replica_ends"):
			delete(led, e.Server)
		}
	}
	return led
}

// Write writes the tables to w and, if dir is not empty, tables and a chart into files there.
func Write(w io.Writer, dir string, o Options, r Result) error {
	if dir == "" {
		return r.tables(w, o)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "state-store.md"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := r.tables(io.MultiWriter(w, file), o); err != nil {
		return err
	}
	fmt.Fprintf(file, "\n![promises a second](copies.svg)\n")
	b := report.Bars{
		Title: "Promises a second", Note: fmt.Sprintf("loopback, one process, %d callers", o.Callers), Series: []string{"memory", "disk"}, Values: make([][]float64, 2),
	}
	for _, l := range r.Loads {
		if l.Callers == 1 {
			continue
		}
		i := 0
		if l.Disk {
			i = 1
		} else {
			b.Labels = append(b.Labels, fmt.Sprintf("%d copies, %d shards", l.Copies, l.Shards))
		}
		b.Values[i] = append(b.Values[i], l.Rate)
	}
	return b.Write(filepath.Join(dir, "copies.svg"))
}

func place(disk bool) string {
	if disk {
		return "disk"
	}
	return "memory"
}

func (r Result) tables(w io.Writer, o Options) error {
	fmt.Fprintf(w, "# What gateways hold for each other, measured\n\nLoopback. Gateways' adapters with their streams and disks in one process, but for the last table. "+
		"Times in ms.\n\nPromises, %v each; one copy is the baseline of a gateway with its own file.\n\n", o.LoadDuration)
	var rows [][]string
	for _, l := range r.Loads {
		rows = append(rows, []string{place(l.Disk), fmt.Sprint(l.Copies), fmt.Sprint(l.Shards), fmt.Sprint(l.Callers), fmt.Sprintf("%.0f", l.Rate),
			l.Spans.Cell(50), l.Spans.Cell(99), l.Spans.Cell(100), fmt.Sprint(l.Failed)})
	}
	if err := report.Table(w, []string{"where", "copies", "shards", "callers", "a second", "median", "99 %", "longest", "not promised"}, rows); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nOne of five holders lost for good, three copies, 16 shards, eight callers beside: from the first replica that gets another holder until all copies are there.\n\n")
	rows = nil
	for _, h := range r.Heals {
		rows = append(rows, []string{place(h.Disk), fmt.Sprint(h.Records), fmt.Sprintf("%.1f s", h.Took.Seconds()), h.Before.Cell(50), h.Before.Cell(99),
			h.After.Cell(50), h.After.Cell(99), h.After.Cell(100), fmt.Sprint(h.Failed)})
	}
	if err := report.Table(w, []string{"where", "records", "healed in", "a promise before: median", "99 %", "meanwhile: median", "99 %", "longest", "not promised"}, rows); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nAt rest, three copies of 16 shards: ")
	var parts []string
	for i, n := range o.IdleGateways {
		parts = append(parts, fmt.Sprintf("%d bytes a second and gateway with %d gateways", r.Rest[i], n))
	}
	fmt.Fprintf(w, "%s.\n\nA start with %d records in 16 shards: %.2f s to read the file, %.2f s to make the replicas. A record costs %d bytes on the disk, %d in memory, "+
		"and counts as %d.\n\n", strings.Join(parts, ", "), o.StoredRecords, r.Opened.Seconds(), r.Made.Seconds(), r.OnDisk/int64(o.StoredRecords),
		r.InHeap/int64(o.StoredRecords), r.Counted/int64(o.StoredRecords))
	fmt.Fprintf(w, "Five real gateways, 16 shards, heartbeats every 100 ms: from a leader's end until its shards have another one, by their logs.\n\n")
	rows = nil
	for _, g := range r.Gaps {
		rows = append(rows, []string{map[string]string{"kill": "SIGKILL", "term": "SIGTERM", "stop": "SIGSTOP"}[g.Kind], fmt.Sprint(g.Count), g.Spans.Cell(50), g.Spans.Cell(99), g.Spans.Cell(100)})
	}
	return report.Table(w, []string{"what", "shards", "median", "99 %", "longest"}, rows)
}
