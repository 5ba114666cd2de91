package testcluster

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// The state store under faults, with five processes under load, a database replica that lags all the time, and reads of every session
// at any gateway. In the end the state store is complete, and every session sees its bookings.
func TestStateStore(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector does not check the gateways' processes")
	}
	play := func(script string) func(*Cluster) error {
		return func(f *Cluster) error {
			faults, err := ParseScript("script", script)
			if err != nil {
				return err
			}
			return f.Play(faults, nil)
		}
	}
	// down ends a gateway's process, calls meanwhile, and starts the gateway again.
	down := func(f *Cluster, n *Node, verb string, meanwhile func() error) error {
		return withFault(f, fmt.Sprintf("at 0s %s %d", verb, n.Number), func() error { n.WaitForExit(); return meanwhile() })
	}
	killLeaders := func(f *Cluster, times int) error {
		for i := range times {
			if n := f.LeaderOf(1 + i%f.Options.StateStore.Shards); n != nil {
				if err := down(f, n, "kill", func() error { return nil }); err != nil {
					return err
				}
			}
			if err := f.AwaitReady(settleTimeout); err != nil {
				return err
			}
		}
		return nil
	}
	// killBlockedLeader applies a fault to the paths of a leader, waits until the fault blocks the leader's writes, and kills it.
	killBlockedLeader := func(f *Cluster, pathFault func(leader, replicas, others string) string) error {
		n, err := leader(f)
		if err != nil {
			return err
		}
		v, err := n.StateStoreStatus()
		if err != nil {
			return err
		}
		var replicas, others []string
		for _, m := range f.Nodes {
			switch name := fmt.Sprint(m.Number); {
			case m == n:
			case v.Groups[1].HasReplicaOn(m):
				replicas = append(replicas, name)
			default:
				others = append(others, name)
			}
		}
		if err := withFault(f, pathFault(fmt.Sprint(n.Number), strings.Join(replicas, ","), strings.Join(others, ",")), func() error {
			time.Sleep(200 * time.Millisecond) // shorter than the time until an election begins
			undo, err := f.injectRecorded(mustFault(fmt.Sprint("at 0s kill ", n.Number)))
			if err != nil {
				return err
			}
			n.WaitForExit()
			return undo()
		}); err != nil {
			return err
		}
		if err := f.AwaitReady(settleTimeout); err != nil {
			return err
		}
		return f.AwaitComplete(settleTimeout)
	}
	for _, c := range []struct {
		name   string
		memory bool
		lossy  bool // the loss of sessions is expected
		do     func(f *Cluster) error
	}{
		{"calm", false, false, play("at 1s lag r1 2s for 1s")},
		{"in memory, gateways are restarted one after the other", true, false, func(f *Cluster) error {
			for _, n := range f.Nodes[:3] {
				if err := down(f, n, "term", func() error { return nil }); err != nil {
					return err
				}
				if err := f.AwaitComplete(settleTimeout); err != nil {
					return err
				}
			}
			return nil
		}},
		{"leaders are killed", false, false, func(f *Cluster) error { return killLeaders(f, 4) }},
		{"the leader is killed at each step of a write", false, false, func(f *Cluster) error {
			for _, pathFault := range []func(leader, replicas, others string) string{
				func(l, r, o string) string { return fmt.Sprintf("at 0s cut %s -> all", l) },        // the write is only on the leader's own disk
				func(l, r, o string) string { return fmt.Sprintf("at 0s cut %s -> %s", r, l) },      // a quorum has the write, but the leader gets no acks
				func(l, r, o string) string { return fmt.Sprintf("at 0s cut %s -> %s", l, o) },      // the write is committed, but gateways without a replica get no answer
				func(l, r, o string) string { return fmt.Sprintf("at 0s delay %s -> %s 0s", l, r) }, // no impairment: all callers get an answer
			} {
				if err := killBlockedLeader(f, pathFault); err != nil {
					return err
				}
			}
			return nil
		}},
		{"one of five has no replicas, and leaders are killed", false, false, func(f *Cluster) error {
			if v, err := f.Nodes[4].StateStoreStatus(); err != nil || v.StoreID != "" || len(v.Stores) != 4 {
				return fmt.Errorf("gateway 5 has a store: %+v, %v", v, err)
			}
			return killLeaders(f, 3)
		}},
		{"two versions of the records together", false, false, func(f *Cluster) error {
			formats := func(want uint32) error {
				return pollUntil(fmt.Sprint("all gateways use format ", want), func() bool {
					for _, n := range f.Nodes {
						if v, err := n.StateStoreStatus(); err != nil || v.Format != want {
							return false
						}
					}
					return true
				})
			}
			for i, n := range f.Nodes {
				if err := formats(2); err != nil {
					return err
				}
				n.Binary = otherBinary
				if err := down(f, n, "term", func() error { return nil }); err != nil {
					return err
				}
				if err := f.AwaitComplete(settleTimeout); err != nil {
					return fmt.Errorf("with %d gateways of the later version: %w", i+1, err)
				}
			}
			if err := formats(3); err != nil {
				return err
			}
			n := f.Nodes[2] // back to the earlier version, with an empty disk: the gateway serves without replicas
			n.Binary = ""
			if err := down(f, n, "kill", func() error { return n.changeDisk("empty") }); err != nil {
				return err
			}
			if err := awaitStoreEvent(f, "format_too_old"); err != nil {
				return err
			}
			n.Binary = otherBinary
			return down(f, n, "kill", func() error { return nil })
		}},
		{"disks are lost, one after the other", false, false, func(f *Cluster) error {
			for _, n := range f.Nodes {
				if err := down(f, n, "kill", func() error { return n.changeDisk("empty") }); err != nil {
					return err
				}
				if err := f.AwaitReady(settleTimeout); err != nil {
					return err
				}
				if err := f.AwaitComplete(settleTimeout); err != nil {
					return err
				}
			}
			return awaitStoreEvent(f, "disk_gone")
		}},
		{"an old copy of a disk is restored", false, false, func(f *Cluster) error {
			n, err := leader(f)
			if err != nil {
				return err
			}
			if err := down(f, n, "kill", func() error { return n.changeDisk("save") }); err != nil {
				return err
			}
			if err := f.AwaitComplete(settleTimeout); err != nil {
				return err
			}
			time.Sleep(2 * time.Second) // bookings continue
			if err := down(f, n, "kill", func() error { return n.changeDisk("old") }); err != nil {
				return err
			}
			return awaitStoreEvent(f, "disk_older")
		}},
		{"a leader is stopped", false, false, func(f *Cluster) error {
			n, err := leader(f)
			if err != nil {
				return err
			}
			return play(fmt.Sprintf("at 0s stop %d for 5s", n.Number))(f)
		}},
		{"one-way cuts", false, false, play("at 0s cut 1 -> all for 2s\nat 3s cut all -> 2 for 2s\nat 5s cut 3 -> 4 for 1s")},
		{"one is cut off for longer than repair-after", false, false, play("at 0s split 2 | 1,3,4,5 for 5s")},
		{"during a partition, only the side with the ledger's majority changes placements", false, false, func(f *Cluster) error {
			lost := f.Nodes[4]
			return withFault(f, "at 0s split 1,2 | 3,4,5", func() error {
				return down(f, lost, "kill", func() error {
					if err := lost.changeDisk("empty"); err != nil {
						return err
					}
					var accepted []int
					if err := pollUntil("one side accepts the removal of a store", func() bool {
						for _, n := range f.Nodes[:4] {
							if n.RemoveStore(lost) == nil {
								accepted = append(accepted, n.Number)
							}
						}
						return len(accepted) > 0
					}); err != nil {
						return err
					}
					time.Sleep(2 * time.Second) // both sides continue to run
					for _, n := range f.Nodes[:4] {
						if n.RemoveStore(lost) == nil {
							accepted = append(accepted, n.Number)
						}
					}
					if slices.ContainsFunc(accepted, func(n int) bool { return (n <= 2) != (accepted[0] <= 2) }) {
						return fmt.Errorf("both sides have changed the placement: %v", accepted)
					}
					return nil
				})
			})
		}},
		{"losses, delay and stalled streams", false, false, play("at 0s loss all -> all 30% for 4s\nat 0s delay all -> all 0s..1s for 4s\nat 5s stall 1 -> 2,3 for 2s")},
		{"a damaged disk", false, false, func(f *Cluster) error {
			n := f.Nodes[3]
			checked := func(want string) error {
				out, err := exec.Command(f.Binary, "state-store", "check", n.StoreFile()).CombinedOutput()
				if !strings.Contains(string(out), want) || (err == nil) != (want == "is whole") {
					return fmt.Errorf("want %q from the check of the file, got %s, %v", want, out, err)
				}
				return nil
			}
			return down(f, n, "kill", func() error {
				if err := checked("is whole"); err != nil {
					return err
				}
				raw, err := os.ReadFile(n.StoreFile())
				if err != nil {
					return err
				}
				for i := 4096; i < len(raw); i += 1024 {
					raw[i] ^= 0x55
				}
				if err := os.WriteFile(n.StoreFile(), raw, 0o600); err != nil {
					return err
				}
				return checked("is damaged")
			})
		}},
		{"a disk that is full", false, false, func(f *Cluster) error {
			n, err := leader(f)
			if err != nil {
				return err
			}
			if err := withFault(f, fmt.Sprintf("at 0s files %d read-only", n.Number), func() error {
				if err := awaitStoreEvent(f, "disk_failed"); err != nil {
					return err
				}
				return awaitStoreEvent(f, "disk_gone")
			}); err != nil {
				return err
			}
			return down(f, n, "kill", func() error { return nil })
		}},
		{"46 % of nine are killed", false, false, play("at 0s kill 1,2,3,4 for 1s")},
		{"all are killed at once", false, false, play("at 0s kill all for 100ms")},
		{"all are killed at once, with operators' files in former words", false, false, func(f *Cluster) error {
			if err := play("at 0s kill all for 100ms")(f); err != nil {
				return err
			}
			return checkFormerWordWarnings(f)
		}},
		{"all are killed at once, with their disks", false, true, func(f *Cluster) error {
			if err := withFault(f, "at 0s kill all", func() error {
				for _, n := range f.Nodes {
					n.WaitForExit()
					if err := n.changeDisk("empty"); err != nil {
						return err
					}
				}
				return nil
			}); err != nil {
				return err
			}
			if err := f.AwaitReady(settleTimeout); err != nil {
				return err
			}
			if v, err := f.Nodes[0].StateStoreStatus(); err != nil || v.BootstrapID != "" {
				return fmt.Errorf("gateway 1 has a store before the bootstrap: %+v, %v", v, err)
			}
			if err := f.AwaitMembers(settleTimeout); err != nil {
				return err
			}
			return f.Nodes[2].Bootstrap(false)
		}},
		{"two of a shard's three disks are lost at once", false, true, loseTwoStores},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			untimedSlots <- true
			defer func() { <-untimedSlots }()
			o := options()
			o.Nodes, o.Dir, o.StateStore = 5, t.TempDir(), DefaultStateStore()
			if strings.Contains(c.name, "nine") {
				o.Nodes = 9
			}
			o.StateStore.InMemory = c.memory
			if strings.Contains(c.name, "former words") {
				o.RewriteConfig = withFormerWords
			}
			if strings.Contains(c.name, "has no replicas") {
				o.StateStore.RaftNodes = 4
			}
			load := DefaultLoad()
			load.SessionReaders = 4
			runScenario(t, "copies "+c.name, o, load, "at 0s lag r1 2s", c.do)
		})
	}
}

// withFormerWords replaces the directives of an operators' file by those of earlier versions.
func withFormerWords(conf string) string {
	return strings.NewReplacer("state-store\n", "copies\n", " raft-nodes ", " holders ", " voters ", " copies ", " repair-after ", " heal-after ",
		" max-repairs ", " heal-at-once ", " storage ", " store ").Replace(conf)
}

// checkFormerWordWarnings checks that each gateway's log has the warnings for the directives of withFormerWords.
func checkFormerWordWarnings(f *Cluster) error {
	for _, n := range f.Nodes {
		log, err := os.ReadFile(filepath.Join(n.dir, "log"))
		if err != nil {
			return err
		}
		for _, words := range [][2]string{{"copies", "state-store"}, {"holders", "raft-nodes"}, {"copies", "voters"}, {"heal-after", "repair-after"}} {
			if want := fmt.Sprintf(`"former":%q,"new":%q`, words[0], words[1]); !strings.Contains(string(log), want) {
				return fmt.Errorf("the log of %s has no warning %s", n.Name(), want)
			}
		}
	}
	return nil
}

// runScenario starts a cluster with a state store, runs a scenario under load, and checks the history once it has settled.
// background is a fault that is active all the time, or empty.
func runScenario(t *testing.T, name string, o Options, load LoadOptions, background string, do func(*Cluster) error) {
	t.Helper()
	var history bytes.Buffer
	o.History = &history
	f, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	l := f.Load(load)
	endBackground := func() error { return nil }
	if background != "" {
		if endBackground, err = f.Inject(mustFault(background)); err != nil {
			t.Fatal(err)
		}
	}
	if err := do(f); err != nil {
		t.Error(err)
	}
	repairedAt := time.Now()
	if err := f.Settle(load.classCount()); err != nil {
		t.Error(err)
	}
	t.Logf("settled %v after the fault", time.Since(repairedAt))
	f.History.Add(Event{Kind: PhaseReached, What: PhaseSettled})
	l.Stop()
	l.VerifySessions()
	endBackground()
	f.History.Add(Event{Kind: PhaseReached, What: PhaseDone})
	f.History.End()
	for _, v := range Check(f.History.Events()) {
		t.Error(v)
	}
	t.Logf("%+v", l.Totals())
	keepArtifacts(t, name, f, history.Bytes())
}

// awaitStoreEvent waits until some gateway has reported an event of its state store.
func awaitStoreEvent(f *Cluster, what string) error {
	return f.History.Await("a gateway reports the store event "+what, settleTimeout, func(all []Event) bool {
		return slices.ContainsFunc(all, func(e Event) bool { return e.Kind == StateReported && e.What == "copies "+what })
	})
}

// loseTwoStores empties the disks of two of a shard's three gateways at once. Not both of these hold the ledger.
func loseTwoStores(f *Cluster) error {
	v, err := f.Nodes[0].StateStoreStatus()
	if err != nil {
		return err
	}
	for _, g := range v.Groups[1:] {
		var both []*Node
		ledgers := 0
		for _, n := range f.Nodes {
			if len(both) < 2 && g.HasReplicaOn(n) {
				both = append(both, n)
				if v.Groups[0].HasReplicaOn(n) {
					ledgers++
				}
			}
		}
		if ledgers == 2 {
			continue
		}
		if err := withFault(f, fmt.Sprintf("at 0s kill %d,%d", both[0].Number, both[1].Number), func() error {
			for _, n := range both {
				n.WaitForExit()
				if err := n.changeDisk("empty"); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
		return awaitStoreEvent(f, "lost")
	}
	return nil // every shard shares two gateways with the ledger
}

// keepArtifacts copies the history and logs of a failed test to a directory that remains.
func keepArtifacts(t *testing.T, name string, f *Cluster, history []byte) {
	if !t.Failed() {
		return
	}
	dir := filepath.Join(os.TempDir(), strings.ReplaceAll(name, " ", "-"))
	os.MkdirAll(dir, 0o755)
	os.WriteFile(filepath.Join(dir, "history.jsonl"), history, 0o644)
	for _, n := range f.Nodes {
		log, _ := os.ReadFile(filepath.Join(n.dir, "log"))
		os.WriteFile(filepath.Join(dir, fmt.Sprint("log-", n.Number)), log, 0o644)
	}
	t.Logf("the history and logs are in %s", dir)
}

// leader waits until the first shard has a leader and returns its gateway.
func leader(f *Cluster) (n *Node, err error) {
	return n, pollUntil("the first shard has a leader", func() bool { n = f.LeaderOf(1); return n != nil })
}

// mustFault parses a fault and panics on an error.
func mustFault(line string) Fault {
	x, err := ParseFault(line)
	if err != nil {
		panic(err)
	}
	return x
}

// withFault injects a fault, calls wait, and repairs the fault.
func withFault(f *Cluster, line string, wait func() error) error {
	undo, err := f.injectRecorded(mustFault(line))
	if err != nil {
		return err
	}
	if err := wait(); err != nil {
		return err
	}
	return undo()
}
