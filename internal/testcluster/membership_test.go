package testcluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"
)

// membershipState returns the state of another gateway that a gateway reports at the end of a history.
func membershipState(all []Event, node, about int) (s string) {
	for _, e := range all {
		if e.Node == node && e.Kind == ProcessChanged && e.What == ProcessStarted {
			s = ""
		}
		if e.Node == node && e.Kind == StateReported && e.What == fmt.Sprint("member g", about) {
			s = e.Text
		}
	}
	return s
}

// convergenceTimeout is how long a change may take to reach all gateways: one or two seconds, but longer on a busy machine.
const convergenceTimeout = 15 * time.Second

// awaitReportedByAll waits until all gateways, with some exceptions, report the same state of a gateway.
func awaitReportedByAll(f *Cluster, about int, want string, except ...int) error {
	return f.History.Await(fmt.Sprintf("all gateways report that gateway %d is %s", about, want), convergenceTimeout, func(all []Event) bool {
		for _, n := range f.Nodes {
			skip := n.Number == about
			for _, b := range except {
				skip = skip || n.Number == b
			}
			if !skip && membershipState(all, n.Number, about) != want {
				return false
			}
		}
		return true
	})
}

// awaitSelfObservation waits until a gateway has reported an event of its own membership.
func awaitSelfObservation(f *Cluster, node int, what string) error {
	return f.History.Await(fmt.Sprintf("gateway %d reports %s of itself", node, what), settleTimeout, func(all []Event) bool {
		for _, e := range all {
			if e.Node == node && e.Kind == StateReported && e.What == "itself" && e.Text == what {
				return true
			}
		}
		return false
	})
}

// queryMembers queries a gateway for its list of members.
func queryMembers(f *Cluster, node int, args ...string) (s struct {
	Members []struct {
		Name, State, Version string
		Self                 bool
		Cut                  []string
		StreamMicros         int64  `json:"stream_us"`
		StreamFault          string `json:"stream_fault"`
	}
}, err error) {
	args = append([]string{"members", "--json", "--socket", f.Nodes[node-1].Socket()}, args...)
	out, err := exec.Command(f.Binary, args...).Output()
	if err == nil {
		err = json.Unmarshal(out, &s)
	}
	return s, err
}

// pollUntil waits for a condition that cannot be read from the history.
func pollUntil(what string, holds func() bool) error {
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not seen within %v", what, settleTimeout)
}

// flood sends random datagrams to an address until quit is closed.
func flood(to string, quit <-chan struct{}) {
	c, err := net.Dial("udp4", to)
	if err != nil {
		return
	}
	defer c.Close()
	b := make([]byte, 1200)
	rng := rand.NewChaCha8([32]byte{1})
	for {
		rng.Read(b)
		for range 64 {
			c.Write(b[:200+rng.Uint64()%1000])
		}
		select {
		case <-quit:
			return
		default:
		}
	}
}

// replace returns a function that replaces the first occurrence of old.
func replace(old, new string) func(string) string {
	return func(s string) string { return strings.Replace(s, old, new, 1) }
}

// Membership under faults, with nine processes under load. In the end every gateway reports every other one alive, and no rule is
// violated. In cases marked calm, no gateway may be declared dead.
func TestMembership(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector does not check the gateways' processes")
	}
	// during returns a step that injects a fault and waits for a condition during the fault.
	during := func(line string, wait func(f *Cluster) error) func(f *Cluster) error {
		return func(f *Cluster) error { return withFault(f, line, func() error { return wait(f) }) }
	}
	lasts := func(span time.Duration) func(*Cluster) error {
		return func(*Cluster) error { time.Sleep(span); return nil } // the duration of the fault
	}
	for _, c := range []struct {
		name string
		calm bool
		do   func(f *Cluster) error
	}{
		{"one is killed", false, during("at 0s kill 4", func(f *Cluster) error { return awaitReportedByAll(f, 4, "dead") })},
		{"four of nine are killed at once", false, during("at 0s kill 1,2,3,4", func(f *Cluster) error {
			for i := 1; i <= 4; i++ {
				if err := awaitReportedByAll(f, i, "dead", 1, 2, 3, 4); err != nil {
					return err
				}
			}
			return nil
		})},
		{"one is stopped for a second", true, during("at 0s stop 3", lasts(time.Second))},
		{"a third of the gateways is stopped for a second", true, during("at 0s stop 2,5,8", lasts(time.Second))},
		{"one is stopped for long", false, func(f *Cluster) error {
			if err := during("at 0s stop 5", func(f *Cluster) error { return awaitReportedByAll(f, 5, "dead") })(f); err != nil {
				return err
			}
			return awaitSelfObservation(f, 5, "outcast")
		}},
		{"a fifth of the gateways is starved", true, during("at 0s starve 2,7 70%", lasts(2*time.Second))},
		{"losses and delay", true, during("at 0s loss all -> all 30%", during("at 0s delay all -> all 0s..1s", lasts(4*time.Second)))},
		{"a one-way cut of a pair", true, during("at 0s cut 2 -> 6", func(f *Cluster) error {
			return pollUntil("a third gateway lists the cut path", func() bool {
				s, err := queryMembers(f, 9)
				for _, m := range s.Members {
					if m.Name == "g6" && strings.Contains(strings.Join(m.Cut, ","), "g2 -> g6") {
						return err == nil
					}
				}
				return false
			})
		})},
		{"stalled streams", true, func(f *Cluster) error {
			blocked := func(want ...string) func() bool {
				return func() bool {
					s, err := queryMembers(f, 2, "--streams")
					var silent []string
					for _, m := range s.Members {
						if !m.Self && m.StreamMicros == 0 {
							silent = append(silent, m.Name)
						}
					}
					return err == nil && len(s.Members) == 9 && slices.Equal(silent, want)
				}
			}
			if err := pollUntil("streams to all", blocked()); err != nil {
				return err
			}
			if err := during("at 0s stall 2 -> 6,7", func(*Cluster) error { return pollUntil("streams to all but two", blocked("g6", "g7")) })(f); err != nil {
				return err
			}
			f.Inject(Fault{Verb: "reset"})
			return pollUntil("streams to all again", blocked())
		}},
		{"three of another version", true, func(f *Cluster) error {
			for _, i := range []int{3, 6, 9} {
				f.Nodes[i-1].Binary = otherBinary
				if err := during(fmt.Sprint("at 0s term ", i), func(f *Cluster) error { return awaitReportedByAll(f, i, "left") })(f); err != nil {
					return err
				}
			}
			return pollUntil("all gateways list both versions", func() bool {
				for i := range f.Nodes {
					s, err := queryMembers(f, i+1)
					for _, m := range s.Members {
						if other := m.Name == "g3" || m.Name == "g6" || m.Name == "g9"; other != (m.Version == otherVersion) || m.State != "alive" {
							return false
						}
					}
					if err != nil {
						return false
					}
				}
				return true
			})
		}},
		{"one whose messages reach no gateway", false, func(f *Cluster) error {
			if err := during("at 0s cut 6 -> all", func(f *Cluster) error { return awaitReportedByAll(f, 6, "dead") })(f); err != nil {
				return err
			}
			return awaitSelfObservation(f, 6, "outcast")
		}},
		{"one that receives no messages", false, during("at 0s cut all -> 6", func(f *Cluster) error { return awaitReportedByAll(f, 6, "dead") })},
		{"a partition into two halves", false, during("at 0s split 1,2,3,4 | 5,6,7,8,9", func(f *Cluster) error { return awaitReportedByAll(f, 9, "dead", 5, 6, 7, 8) })},
		{"a partition into three parts, two of them joined by one gateway", false, during("at 0s split 1,2 | 5,6,7,8,9",
			during("at 0s split 3,4 | 5,6,7,8,9", during("at 0s split 1 | 3,4", lasts(3*time.Second))))},
		{"SIGTERM during a partition", false, during("at 0s split 1,2,3,4 | 5,6,7,8,9", during("at 0s term 4", func(f *Cluster) error {
			return f.History.Await("the other gateways of its partition report that it has left", settleTimeout, func(all []Event) bool {
				return membershipState(all, 1, 4) == "left" && membershipState(all, 2, 4) == "left" && membershipState(all, 3, 4) == "left"
			})
		}))},
		{"one joins and leaves in a loop", true, func(f *Cluster) error {
			for range 3 {
				if err := during("at 0s term 7", func(f *Cluster) error { return awaitReportedByAll(f, 7, "left") })(f); err != nil {
					return err
				}
				if err := awaitReportedByAll(f, 7, "alive"); err != nil {
					return err
				}
			}
			return nil
		}},
		{"the same name twice", false, func(f *Cluster) error {
			n := f.Nodes[8]
			undo, err := f.injectRecorded(mustFault("at 0s term 9"))
			if err != nil {
				return err
			}
			n.WaitForExit()
			own := n.operatorsFile()
			if err := os.WriteFile(n.Conf(), []byte(strings.Replace(own, "node g9", "node g1", 1)), 0o600); err != nil {
				return err
			}
			if err := undo(); err != nil {
				return err
			}
			if err := awaitSelfObservation(f, 9, "left_out"); err != nil {
				return err
			}
			if err := awaitSelfObservation(f, 1, "namesake"); err != nil {
				return err
			}
			restart, err := f.injectRecorded(mustFault("at 0s term 9"))
			if err != nil {
				return err
			}
			n.WaitForExit()
			if err := os.WriteFile(n.Conf(), []byte(own), 0o600); err != nil {
				return err
			}
			return restart()
		}},
		{"keys change during a partition", false, during("at 0s split 1,2,3,4 | 5,6,7,8,9", func(f *Cluster) error {
			steps := []func(string) string{
				replace(`key 1 "`+secret+`"`, `key 1 "`+secret+"\"\n key 2 \"another secret of this test\""),
				replace(`key 1 "`+secret+"\"\n key 2 \"another secret of this test\"", "key 2 \"another secret of this test\"\n key 1 \""+secret+`"`),
			}
			for _, step := range steps {
				for _, n := range f.Nodes {
					if err := n.Reconfigure(step); err != nil {
						return err
					}
				}
			}
			return awaitReportedByAll(f, 9, "dead", 5, 6, 7, 8)
		})},
		{"garbage", true, func(f *Cluster) error {
			quit := make(chan struct{})
			defer close(quit)
			go flood(fmt.Sprintf("%v:%d", f.Nodes[0].IP, portMembers), quit)
			go flood(fmt.Sprintf("%v:%d", f.Nodes[0].IP, portVRRP), quit)
			time.Sleep(3 * time.Second) // the duration of the fault
			if held := ActiveRouters(f.History.Events()); !held[1] || len(held) != 1 {
				return fmt.Errorf("garbage moved the floating address to %v", held)
			}
			return nil
		}},
		{"intervals and join addresses change under load", true, func(f *Cluster) error {
			for _, n := range f.Nodes {
				if err := n.Reconfigure(func(s string) string {
					return strings.Replace(strings.Replace(s, "interval 200ms", "interval 300ms", 1), " join ", " join 127.0.0.1:9\n join ", 1)
				}); err != nil {
					return err
				}
			}
			time.Sleep(2 * time.Second) // several of the new intervals
			return nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			timedSlots <- true
			defer func() { <-timedSlots }()
			o := options()
			o.Nodes, o.Dir = 9, t.TempDir()
			var history bytes.Buffer
			o.History = &history
			f, err := New(o)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			if err := f.AwaitMembers(settleTimeout); err != nil {
				t.Fatal(err, MembershipGaps(f.History.Events(), 9))
			}
			l := f.Load(DefaultLoad())
			if err := c.do(f); err != nil {
				t.Error(err)
			}
			repairedAt := time.Now()
			if err := f.Settle(3); err != nil {
				t.Error(err, MembershipGaps(f.History.Events(), 9))
			}
			t.Logf("settled %v after the fault", time.Since(repairedAt))
			f.History.Add(Event{Kind: PhaseReached, What: PhaseSettled})
			l.Stop()
			f.History.Add(Event{Kind: PhaseReached, What: PhaseDone})
			f.History.End()
			for _, v := range Check(f.History.Events()) {
				t.Error(v)
			}
			dead := 0
			for _, e := range f.History.Events() {
				if e.Kind == StateReported && e.Text == "dead" && strings.HasPrefix(e.What, "member ") {
					dead++
				}
			}
			if c.calm && dead > 0 {
				t.Errorf("%d reports of dead gateways", dead)
			}
			keepArtifacts(t, "members "+c.name, f, history.Bytes())
		})
	}
}

// timedSlots limits how many clusters run at the same time, because each has nine processes, and other clusters must not starve them.
var timedSlots = make(chan bool, 2)

// untimedSlots limits how many clusters run at the same time in tests whose assertions do not depend on timing.
var untimedSlots = make(chan bool, 4)
