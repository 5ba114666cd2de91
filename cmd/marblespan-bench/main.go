// Command marblespan-bench runs measurements and experiments with real gateway processes. It is a program of its own so that the
// gateway's binary stays small. rootCommand lists the experiments; each is a package in internal/experiments.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"marblespan/internal/clock"
	"marblespan/internal/experiments/chaos"
	"marblespan/internal/experiments/demo"
	"marblespan/internal/experiments/failover"
	"marblespan/internal/experiments/indoubt"
	"marblespan/internal/experiments/maintenance"
	"marblespan/internal/experiments/members"
	"marblespan/internal/experiments/statestore"
	"marblespan/internal/testcluster"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "marblespan-bench:", err)
		os.Exit(1)
	}
}

// rootCommand is the program with its sub-commands, one for each experiment.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "marblespan-bench", Short: "Measurements and experiments with marblespan", SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(
		demoCommand(), chaosCommand(), failoverCommand(), membersCommand(), stateStoreCommand(), inDoubtCommand(), maintenanceCommand(),
	)
	return root
}

// defaultBinary is the gateway's program when no flag names one: the one in the directory of this program.
func defaultBinary() string {
	self, err := os.Executable()
	if err != nil {
		return testcluster.Defaults().Binary
	}
	return filepath.Join(filepath.Dir(self), "marblespan")
}

// interrupted returns a channel that is closed at the first Ctrl-C or SIGTERM. The goroutine ends then, or with the program. A second
// signal ends the program at once; the kernel then ends the processes that it has started.
func interrupted() <-chan struct{} {
	signals, quit := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		signal.Stop(signals)
		close(quit)
	}()
	return quit
}

func demoCommand() *cobra.Command {
	o, fault, length := testcluster.Defaults(), "", time.Duration(0)
	cmd := &cobra.Command{
		Use: "demo", Short: "Show three gateways with a floating address under a light load", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return demo.Run(o, fault, length, cmd.OutOrStdout(), interrupted())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Binary, "binary", defaultBinary(), "the gateway's program")
	flags.StringVar(&fault, "fault", "", "show one of "+fmt.Sprint(demo.Names()))
	flags.DurationVar(&length, "for", 0, "how long; 0: until Ctrl-C")
	return cmd
}

func chaosCommand() *cobra.Command {
	o := chaos.Defaults()
	quiet, stateStore, inDoubt := false, false, false
	cmd := &cobra.Command{
		Use: "chaos", Short: "Run gateways under load and faults, and check what happened", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !quiet {
				o.Progress = cmd.ErrOrStderr()
			}
			if stateStore {
				o.Cluster.StateStore, o.Load.SessionReaders = testcluster.DefaultStateStore(), 4
			}
			if inDoubt {
				o.Cluster.InDoubt, o.Load.RetryInDoubt = &testcluster.InDoubt{SeatLookup: true}, true
				if o.Cluster.StateStore == nil {
					o.Cluster.StateStore = testcluster.DefaultStateStore()
					o.Cluster.StateStore.NoSessionMarks = true
				}
			}
			all, err := chaos.Run(o, interrupted())
			if err != nil {
				return err
			}
			if err := chaos.Write(cmd.OutOrStdout(), o, all); err != nil {
				return err
			}
			for _, r := range all {
				if r.Failed() {
					return fmt.Errorf("%s failed", r.Name)
				}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Cluster.Binary, "binary", defaultBinary(), "the gateway's program")
	flags.IntVar(&o.Cluster.Nodes, "nodes", o.Cluster.Nodes, "gateways")
	flags.BoolVar(&stateStore, "state-store", false, "gateways replicate the positions of sessions in the state store")
	flags.BoolVar(&stateStore, "copies", false, "the former name of --state-store")
	if err := flags.MarkDeprecated("copies", "use --state-store"); err != nil {
		panic(err) // only a flag that is not defined
	}
	flags.BoolVar(&inDoubt, "in-doubt", false, "bookings are recorded as intents before they are sent, and retried")
	flags.IntVar(&o.Cluster.Replicas, "replicas", o.Cluster.Replicas, "replicas of the one group of servers")
	flags.StringVar(&o.Script, "script", "", "a file of faults; without one they are drawn")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "of what is drawn")
	flags.DurationVar(&o.Duration, "for", o.Duration, "length of what is drawn")
	flags.IntVar(&o.Runs, "runs", o.Runs, "how many, with seeds that follow each other")
	flags.IntVar(&o.ShrinkRuns, "shrink", o.ShrinkRuns, "runs spent on finding the fewest faults of one that fails")
	flags.StringVar(&o.OutputDir, "out", "", "a folder for histories, scripts, logs and charts")
	flags.BoolVar(&quiet, "quiet", false, "no progress on standard error")
	return cmd
}

func failoverCommand() *cobra.Command {
	o, out, quiet := failover.Defaults(), "", false
	cmd := &cobra.Command{
		Use: "failover", Short: "Measure take-overs of a floating address between real processes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(o.Priorities) < 2 || o.Clients < 1 || o.Trials < 1 {
				return fmt.Errorf("needs two gateways, one client and one trial at least")
			}
			if !quiet {
				o.Progress = cmd.ErrOrStderr()
			}
			results, err := failover.Run(o)
			if err != nil {
				return err
			}
			if err := failover.Write(cmd.OutOrStdout(), out, o, results); err != nil {
				return err
			}
			for _, r := range results {
				if len(r.Violations) > 0 || r.Lost > 0 {
					return fmt.Errorf("%s: lost %q, not true %q", r.Kind, r.LostRequests, r.Violations)
				}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Binary, "binary", o.Binary, "the gateway's program")
	flags.IntVar(&o.Trials, "trials", o.Trials, "take-overs of each kind")
	flags.StringSliceVar(&o.Kinds, "kinds", o.Kinds, "kinds of take-over")
	flags.DurationVar(&o.Interval, "interval", o.Interval, "between advertisements")
	flags.IntSliceVar(&o.Priorities, "priorities", o.Priorities, "one gateway each, the highest first")
	flags.IntVar(&o.Clients, "clients", o.Clients, "clients of the floating address, and as many of the front")
	flags.DurationVar(&o.ThinkTime, "think", o.ThinkTime, "a client's pause between bookings")
	flags.DurationVar(&o.ServerWork, "work", o.ServerWork, "a booking's work at its server")
	flags.DurationVar(&o.FrontDetectionDelay, "notice", o.FrontDetectionDelay, "after which a front knows of a death")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "of the moments at which faults happen")
	flags.StringVar(&out, "out", "", "a folder for the table and the chart")
	flags.BoolVar(&quiet, "quiet", false, "no progress on standard error")
	return cmd
}

func membersCommand() *cobra.Command {
	o, out, quiet := members.Defaults(), "", false
	binary, nodes, trials := "", 9, 0
	span, brief, interval := time.Duration(o.FaultDuration)*time.Microsecond, time.Duration(o.BaselineFaultDuration)*time.Microsecond, time.Duration(o.Interval)*time.Microsecond
	cmd := &cobra.Command{
		Use: "members", Short: "Compare failure detectors among hundreds of members, simulated", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Members < 4 || o.Kills < 1 || o.MassFailures < 1 || interval < 50*time.Millisecond {
				return fmt.Errorf("needs four members, one kill of each kind and an interval of 50ms at least")
			}
			o.FaultDuration, o.BaselineFaultDuration = clock.Micros(span.Microseconds()), clock.Micros(brief.Microseconds())
			o.Interval = clock.Micros(interval.Microseconds())
			if !quiet {
				o.Progress = cmd.ErrOrStderr()
			}
			results, err := members.Run(o)
			if err != nil {
				return err
			}
			var real *members.Processes
			if trials > 0 {
				if real, err = members.RunProcesses(binary, nodes, trials, o.Seed); err != nil {
					return err
				}
			}
			return members.Write(cmd.OutOrStdout(), out, o, results, real)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&o.Members, "members", o.Members, "of a world")
	flags.DurationVar(&interval, "interval", interval, "of a probe, and between heartbeats")
	flags.IntVar(&o.Kills, "kills", o.Kills, "of one member")
	flags.IntVar(&o.MassFailures, "masses", o.MassFailures, "worlds in which 46 % are killed")
	flags.DurationVar(&span, "span", span, "of each fault")
	flags.IntVar(&trials, "processes", trials, "kills of each kind with real processes beside; 0: none")
	flags.IntVar(&nodes, "nodes", nodes, "how many real processes")
	flags.StringVar(&binary, "binary", defaultBinary(), "the gateway's program")
	flags.DurationVar(&brief, "brief", brief, "of each fault, for the baselines")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "of all that is drawn")
	flags.StringVar(&out, "out", "", "a folder for tables and chart")
	flags.BoolVar(&quiet, "quiet", false, "no progress on standard error")
	return cmd
}

func inDoubtCommand() *cobra.Command {
	o, out, quiet := indoubt.Defaults(), "", false
	cmd := &cobra.Command{
		Use: "in-doubt", Aliases: []string{"doubt"}, Short: "Measure bookings whose intents are recorded before they are sent", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Clients < 1 || o.TakeOvers < 1 || o.LoadDuration < 100*time.Millisecond {
				return fmt.Errorf("needs a client, a trial and 100ms at least")
			}
			if !quiet {
				o.Progress = cmd.ErrOrStderr()
			}
			r, err := indoubt.Run(o)
			if err != nil {
				return err
			}
			if err := indoubt.Write(cmd.OutOrStdout(), out, o, r); err != nil {
				return err
			}
			for _, t := range r.TakeOvers {
				if len(t.Violations) > 0 {
					return fmt.Errorf("%s, %s: %v", t.Kind, t.Policy, t.Violations[0])
				}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Binary, "binary", defaultBinary(), "the gateway's program")
	flags.DurationVar(&o.LoadDuration, "span", o.LoadDuration, "of each load")
	flags.IntVar(&o.Clients, "clients", o.Clients, "that book at the same time")
	flags.IntVar(&o.TakeOvers, "trials", o.TakeOvers, "take-overs of each kind")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "of the moments at which they happen")
	flags.StringVar(&out, "out", "", "a folder for tables and chart")
	flags.BoolVar(&quiet, "quiet", false, "no progress on standard error")
	return cmd
}

func maintenanceCommand() *cobra.Command {
	o, out, quiet := maintenance.Defaults(), "", false
	cmd := &cobra.Command{
		Use: "maintenance", Aliases: []string{"maintain"}, Short: "Measure a maintenance run: every machine is taken out and returned, in the order that the gateways agree on", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Gateways < 4 || o.Gateways > testcluster.MaxNodes || o.FaultTrials < 0 {
				return fmt.Errorf("needs 4 to %d gateways", testcluster.MaxNodes)
			}
			if !quiet {
				o.Progress = cmd.ErrOrStderr()
			}
			all, err := maintenance.Run(o)
			if err != nil {
				return err
			}
			if err := maintenance.Write(cmd.OutOrStdout(), out, o, all); err != nil {
				return err
			}
			for _, n := range all {
				if len(n.Violations) > 0 {
					return fmt.Errorf("%s %s: %v", n.Name, n.Fault, n.Violations[0])
				}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Binary, "binary", defaultBinary(), "the gateway's program")
	flags.IntVar(&o.Gateways, "nodes", o.Gateways, "gateways")
	flags.IntVar(&o.FaultTrials, "faults", o.FaultTrials, "nights with a fault at a random moment")
	flags.DurationVar(&o.MaxDuration, "bound", o.MaxDuration, "of one night")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "of the faults and their moments")
	flags.StringVar(&out, "out", "", "a folder for table and chart")
	flags.BoolVar(&quiet, "quiet", false, "no progress on standard error")
	return cmd
}

func stateStoreCommand() *cobra.Command {
	o, out, quiet := statestore.Defaults(), "", false
	cmd := &cobra.Command{
		Use: "state-store", Aliases: []string{"copies"}, Short: "Measure the gateways' replicated state store", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Callers < 1 || o.RepairedRecords < 1000 || o.StoredRecords < 1000 || o.LeaderFaults < 1 || o.LoadDuration < 100*time.Millisecond {
				return fmt.Errorf("needs a caller, a death, a thousand records and 100ms at least")
			}
			if !quiet {
				o.Progress = cmd.ErrOrStderr()
			}
			r, err := statestore.Run(o)
			if err != nil {
				return err
			}
			return statestore.Write(cmd.OutOrStdout(), out, o, r)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Binary, "binary", defaultBinary(), "the gateway's program")
	flags.DurationVar(&o.LoadDuration, "span", o.LoadDuration, "of each load")
	flags.IntVar(&o.Callers, "callers", o.Callers, "that write at the same time")
	flags.IntVar(&o.RepairedRecords, "heal", o.RepairedRecords, "records that are repaired")
	flags.IntVar(&o.StoredRecords, "recover", o.StoredRecords, "records that a start reads")
	flags.IntVar(&o.LeaderFaults, "deaths", o.LeaderFaults, "of a leader, of each kind")
	flags.IntSliceVar(&o.IdleGateways, "rest", o.IdleGateways, "numbers of idle gateways")
	flags.StringVar(&out, "out", "", "a folder for tables and chart")
	flags.BoolVar(&quiet, "quiet", false, "no progress on standard error")
	return cmd
}
