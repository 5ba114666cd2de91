package testcluster

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Maintenance under faults, with real processes and a floating address, under a load of retried bookings and reads in sessions.
func TestMaintenance(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector does not check the gateways' processes")
	}
	const bound = 2 * time.Minute
	gateways := []string{"g1", "g2", "g3", "g4", "g5", "g6"}
	// until waits until a machine is in one of the states in the leader's status.
	until := func(f *Cluster, name string, states ...string) error {
		return pollUntil(fmt.Sprint(name, " is ", states), func() bool {
			o, err := f.LeaderMaintenanceStatus()
			return err == nil && slices.Contains(states, o.FindMachine(name).State)
		})
	}
	add := func(f *Cluster, args ...string) error {
		_, err := f.RunMaintenanceAnywhere(append([]string{"add"}, args...)...)
		return err
	}
	// work performs maintenance until no machine is left on the list.
	work := func(f *Cluster, at MaintenanceActions) error { return f.PerformMaintenance(bound, at) }
	for _, c := range []struct {
		name string
		do   func(f *Cluster) error
	}{
		{"all gateways and a group of servers", func(f *Cluster) error {
			if err := add(f, append(gateways, "p", "r1", "r2")...); err != nil {
				return err
			}
			return work(f, MaintenanceActions{})
		}},
		{"the ledger's leader is killed at each step", func(f *Cluster) error {
			if err := add(f, "g1", "r1"); err != nil {
				return err
			}
			seen := map[string]bool{}
			return work(f, MaintenanceActions{Done: func(o MaintenanceStatus) bool {
				for _, u := range o.Machines {
					step := u.State
					if u.Place == 0 || step == "asked" || seen[step] {
						continue
					}
					seen[step] = true
					for _, n := range f.Nodes {
						if n.Name() == o.Leader && n.Name() != u.Machine {
							if undo, err := f.injectRecorded(Fault{Verb: "kill", From: []int{n.Number}}); err == nil {
								n.WaitForExit()
								undo()
							}
						}
					}
				}
				return false
			}})
		}},
		{"a leaving gateway is stopped, cut off or killed", func(f *Cluster) error {
			for _, fault := range []string{"at 0s stop 4", "at 0s cut 4 -> all", "at 0s kill 4"} {
				if err := add(f, "g4"); err != nil {
					return err
				}
				if err := until(f, "g4", "leaving", "out"); err != nil {
					return err
				}
				if err := withFault(f, fault, func() error {
					time.Sleep(3 * time.Second) // the duration of the fault
					return nil
				}); err != nil {
					return err
				}
				if err := work(f, MaintenanceActions{}); err != nil {
					return err
				}
			}
			return nil
		}},
		{"gateways that are out come back early, with an empty disk, in another version, twice", func(f *Cluster) error {
			if err := add(f, "g2", "g3"); err != nil {
				return err
			}
			restarts := 0
			return work(f, MaintenanceActions{Gateway: func(n *Node) error {
				for range 2 {
					restarts++
					undo, err := f.injectRecorded(Fault{Verb: "kill", From: []int{n.Number}})
					if err != nil {
						return err
					}
					n.WaitForExit()
					switch restarts {
					case 1:
						err = n.changeDisk("empty")
					case 3:
						n.Binary = otherBinary
					}
					if err == nil {
						err = undo()
					}
					if err != nil {
						return err
					}
				}
				return nil
			}})
		}},
		{"a partition just after a gateway was chosen, with an operator on each side", func(f *Cluster) error {
			if err := add(f, "g1"); err != nil {
				return err
			}
			if err := until(f, "g1", "next", "leaving", "out"); err != nil {
				return err
			}
			if err := withFault(f, "at 0s split 1,2 | 3,4,5,6", func() error {
				for _, n := range []*Node{f.Nodes[1], f.Nodes[4]} {
					n.RunMaintenance("add", "g3") // may fail on the side without a quorum of the ledger
					n.RunMaintenance("add", "g6")
				}
				time.Sleep(3 * time.Second) // the duration of the partition
				return nil
			}); err != nil {
				return err
			}
			f.RunMaintenanceAnywhere("add", "g3")
			return work(f, MaintenanceActions{})
		}},
		{"pause, cancel, unknown machines, and a server that discovery drains", func(f *Cluster) error {
			if text, err := f.Nodes[2].RunMaintenance("add", "g77"); err == nil || !strings.Contains(text, "no gateway or server named g77 is known to this gateway") {
				return fmt.Errorf("add of an unknown machine: %s, %v", text, err)
			}
			if err := withFault(f, "at 0s drain r2", func() error {
				if err := add(f, "r1", "g5"); err != nil {
					return err
				}
				if text, err := f.Nodes[3].RunMaintenance("add", "g5"); err != nil || !strings.Contains(text, "already") {
					return fmt.Errorf("second add of the same machine: %s, %v", text, err)
				}
				return until(f, "g5", "out")
			}); err != nil {
				return err
			}
			if _, err := f.RunMaintenanceAnywhere("pause"); err != nil {
				return err
			}
			if err := until(f, "r1", "held", "asked"); err != nil {
				return err
			}
			if _, err := f.RunMaintenanceAnywhere("cancel", "r1"); err != nil {
				return err
			}
			if _, err := f.RunMaintenanceAnywhere("done", "g5"); err != nil {
				return err
			}
			if _, err := f.RunMaintenanceAnywhere("resume"); err != nil {
				return err
			}
			return work(f, MaintenanceActions{})
		}},
		{"a third of the gateways is killed while another is out", func(f *Cluster) error {
			if err := add(f, "g3", "g5"); err != nil {
				return err
			}
			return work(f, MaintenanceActions{Gateway: func(n *Node) error {
				if n.Number != 3 {
					return nil
				}
				if err := withFault(f, "at 0s kill 1,4", func() error { time.Sleep(time.Second); return nil }); err != nil {
					return err
				}
				_, err := f.RunMaintenanceAnywhere("done", "g3")
				return err
			}, Done: func(o MaintenanceStatus) bool {
				if o.FindMachine("g5").State == "out" {
					f.RunMaintenanceAnywhere("done", "g5")
				}
				return false
			}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			untimedSlots <- true
			defer func() { <-untimedSlots }()
			o := options()
			o.SlowStart = time.Second
			o.Nodes, o.Dir, o.StateStore, o.InDoubt, o.Maintenance, o.Groups = 6, t.TempDir(), DefaultStateStore(), &InDoubt{SeatLookup: true}, DefaultMaintenance(), 2
			load := DefaultLoad()
			load.SessionReaders, load.RetryInDoubt = 4, true
			runScenario(t, "maintenance "+c.name, o, load, "", c.do)
		})
	}
}
