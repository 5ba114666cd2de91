// Command marblespan-bench runs measurements and experiments with real gateway processes. It is a program of its own so that the
// gateway's binary stays small. rootCommand lists the experiments; each is a package in internal/experiments.
package main

import (
	"fmt"
	"io"
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

// outputFlags are the flags that all measurements share.
type outputFlags struct {
	dir   string // for tables and charts; empty: none are written
	quiet bool
}

// register adds the flags to a sub-command; usage describes --out.
func (f *outputFlags) register(cmd *cobra.Command, usage string) {
	cmd.Flags().StringVar(&f.dir, "out", "", usage)
	cmd.Flags().BoolVar(&f.quiet, "quiet", false, "no progress on standard error")
}

// progress is where a measurement reports its progress.
func (f *outputFlags) progress(cmd *cobra.Command) io.Writer {
	if f.quiet {
		return io.Discard
	}
	return cmd.ErrOrStderr()
}

func demoCommand() *cobra.Command {
	options, fault, duration := testcluster.Defaults(), "", time.Duration(0)
	cmd := &cobra.Command{
		Use: "demo", Short: "Show three gateways with a floating address under a light load", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return demo.Run(options, fault, duration, cmd.OutOrStdout(), interrupted())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.Binary, "binary", defaultBinary(), "the gateway's program")
	flags.StringVar(&fault, "fault", "", "show one of "+fmt.Sprint(demo.FaultNames()))
	flags.DurationVar(&duration, "for", 0, "how long; 0: until Ctrl-C")
	return cmd
}

func chaosCommand() *cobra.Command {
	options, output := chaos.Defaults(), outputFlags{}
	stateStore, inDoubt := false, false
	cmd := &cobra.Command{
		Use: "chaos", Short: "Run gateways under load and faults, and check what happened", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Progress = output.progress(cmd)
			options.OutputDir = output.dir
			if stateStore {
				useStateStore(&options)
			}
			if inDoubt {
				useInDoubt(&options)
			}
			all, err := chaos.Run(options, interrupted())
			if err != nil {
				return err
			}
			if err := chaos.Write(cmd.OutOrStdout(), options, all); err != nil {
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
	flags.StringVar(&options.Cluster.Binary, "binary", defaultBinary(), "the gateway's program")
	flags.IntVar(&options.Cluster.Nodes, "nodes", options.Cluster.Nodes, "gateways")
	flags.BoolVar(&stateStore, "state-store", false, "gateways replicate the positions of sessions in the state store")
	flags.BoolVar(&stateStore, "copies", false, "the former name of --state-store")
	if err := flags.MarkDeprecated("copies", "use --state-store"); err != nil {
		panic(err) // only a flag that is not defined
	}
	flags.BoolVar(&inDoubt, "in-doubt", false, "bookings are recorded as intents before they are sent, and retried")
	flags.IntVar(&options.Cluster.Replicas, "replicas", options.Cluster.Replicas, "replicas of the one group of servers")
	flags.StringVar(&options.Script, "script", "", "a file of faults; without one they are drawn")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "of what is drawn")
	flags.DurationVar(&options.Duration, "for", options.Duration, "length of what is drawn")
	flags.IntVar(&options.Runs, "runs", options.Runs, "how many, with seeds that follow each other")
	flags.IntVar(&options.ShrinkRuns, "shrink", options.ShrinkRuns, "runs spent on finding the fewest faults of one that fails")
	output.register(cmd, "a folder for histories, scripts, logs and charts")
	return cmd
}

// useStateStore has the gateways replicate session positions, and adds clients that read their sessions.
func useStateStore(options *chaos.Options) {
	options.Cluster.StateStore, options.Load.SessionReaders = testcluster.DefaultStateStore(), 4
}

// useInDoubt has the gateways record intents, in a state store without session positions unless there is one, and clients retry.
func useInDoubt(options *chaos.Options) {
	options.Cluster.InDoubt, options.Load.RetryInDoubt = &testcluster.InDoubt{SeatLookup: true}, true
	if options.Cluster.StateStore == nil {
		options.Cluster.StateStore = testcluster.DefaultStateStore()
		options.Cluster.StateStore.NoSessionMarks = true
	}
}

func failoverCommand() *cobra.Command {
	options, output := failover.Defaults(), outputFlags{}
	cmd := &cobra.Command{
		Use: "failover", Short: "Measure take-overs of a floating address between real processes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(options.Priorities) < 2 || options.Clients < 1 || options.Trials < 1 {
				return fmt.Errorf("needs two gateways, one client and one trial at least")
			}
			options.Progress = output.progress(cmd)
			results, err := failover.Run(options)
			if err != nil {
				return err
			}
			if err := failover.Write(cmd.OutOrStdout(), output.dir, options, results); err != nil {
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
	flags.StringVar(&options.Binary, "binary", options.Binary, "the gateway's program")
	flags.IntVar(&options.Trials, "trials", options.Trials, "take-overs of each kind")
	flags.StringSliceVar(&options.Kinds, "kinds", options.Kinds, "kinds of take-over")
	flags.DurationVar(&options.Interval, "interval", options.Interval, "between advertisements")
	flags.IntSliceVar(&options.Priorities, "priorities", options.Priorities, "one gateway each, the highest first")
	flags.IntVar(&options.Clients, "clients", options.Clients, "clients of the floating address, and as many of the front")
	flags.DurationVar(&options.ThinkTime, "think", options.ThinkTime, "a client's pause between bookings")
	flags.DurationVar(&options.ServerWork, "work", options.ServerWork, "a booking's work at its server")
	flags.DurationVar(&options.BalancerDetectionDelay, "notice", options.BalancerDetectionDelay, "after which a front knows of a death")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "of the moments at which faults happen")
	output.register(cmd, "a folder for the table and the chart")
	return cmd
}

func membersCommand() *cobra.Command {
	options, output := members.Defaults(), outputFlags{}
	binary, nodes, trials := "", 9, 0
	faultDuration, baselineDuration, interval := time.Duration(options.FaultDuration)*time.Microsecond, time.Duration(options.BaselineFaultDuration)*time.Microsecond, time.Duration(options.Interval)*time.Microsecond
	cmd := &cobra.Command{
		Use: "members", Short: "Compare failure detectors among hundreds of members, simulated", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Members < 4 || options.Kills < 1 || options.MassFailures < 1 || interval < 50*time.Millisecond {
				return fmt.Errorf("needs four members, one kill of each kind and an interval of 50ms at least")
			}
			options.FaultDuration, options.BaselineFaultDuration = clock.Micros(faultDuration.Microseconds()), clock.Micros(baselineDuration.Microseconds())
			options.Interval = clock.Micros(interval.Microseconds())
			options.Progress = output.progress(cmd)
			results, err := members.Run(options)
			if err != nil {
				return err
			}
			var real *members.Processes
			if trials > 0 {
				if real, err = members.RunProcesses(binary, nodes, trials, options.Seed); err != nil {
					return err
				}
			}
			return members.Write(cmd.OutOrStdout(), output.dir, options, results, real)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&options.Members, "members", options.Members, "of a world")
	flags.DurationVar(&interval, "interval", interval, "of a probe, and between heartbeats")
	flags.IntVar(&options.Kills, "kills", options.Kills, "of one member")
	flags.IntVar(&options.MassFailures, "masses", options.MassFailures, "worlds in which 46 % are killed")
	flags.DurationVar(&faultDuration, "span", faultDuration, "of each fault")
	flags.IntVar(&trials, "processes", trials, "kills of each kind with real processes beside; 0: none")
	flags.IntVar(&nodes, "nodes", nodes, "how many real processes")
	flags.StringVar(&binary, "binary", defaultBinary(), "the gateway's program")
	flags.DurationVar(&baselineDuration, "brief", baselineDuration, "of each fault, for the baselines")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "of all that is drawn")
	output.register(cmd, "a folder for tables and chart")
	return cmd
}

func inDoubtCommand() *cobra.Command {
	options, output := indoubt.Defaults(), outputFlags{}
	cmd := &cobra.Command{
		Use: "in-doubt", Aliases: []string{"doubt"}, Short: "Measure bookings whose intents are recorded before they are sent", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Clients < 1 || options.TakeOvers < 1 || options.LoadDuration < 100*time.Millisecond {
				return fmt.Errorf("needs a client, a trial and 100ms at least")
			}
			options.Progress = output.progress(cmd)
			r, err := indoubt.Run(options)
			if err != nil {
				return err
			}
			if err := indoubt.Write(cmd.OutOrStdout(), output.dir, options, r); err != nil {
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
	flags.StringVar(&options.Binary, "binary", defaultBinary(), "the gateway's program")
	flags.DurationVar(&options.LoadDuration, "span", options.LoadDuration, "of each load")
	flags.IntVar(&options.Clients, "clients", options.Clients, "that book at the same time")
	flags.IntVar(&options.TakeOvers, "trials", options.TakeOvers, "take-overs of each kind")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "of the moments at which they happen")
	output.register(cmd, "a folder for tables and chart")
	return cmd
}

func maintenanceCommand() *cobra.Command {
	options, output := maintenance.Defaults(), outputFlags{}
	cmd := &cobra.Command{
		Use: "maintenance", Aliases: []string{"maintain"}, Short: "Measure a maintenance run: every machine is taken out and returned, in the order that the gateways agree on", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Gateways < 4 || options.Gateways > testcluster.MaxNodes || options.FaultTrials < 0 {
				return fmt.Errorf("needs 4 to %d gateways", testcluster.MaxNodes)
			}
			options.Progress = output.progress(cmd)
			all, err := maintenance.Run(options)
			if err != nil {
				return err
			}
			if err := maintenance.Write(cmd.OutOrStdout(), output.dir, options, all); err != nil {
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
	flags.StringVar(&options.Binary, "binary", defaultBinary(), "the gateway's program")
	flags.IntVar(&options.Gateways, "nodes", options.Gateways, "gateways")
	flags.IntVar(&options.FaultTrials, "faults", options.FaultTrials, "nights with a fault at a random moment")
	flags.DurationVar(&options.MaxDuration, "bound", options.MaxDuration, "of one night")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "of the faults and their moments")
	output.register(cmd, "a folder for table and chart")
	return cmd
}

func stateStoreCommand() *cobra.Command {
	options, output := statestore.Defaults(), outputFlags{}
	cmd := &cobra.Command{
		Use: "state-store", Aliases: []string{"copies"}, Short: "Measure the gateways' replicated state store", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Callers < 1 || options.RepairedRecords < 1000 || options.StoredRecords < 1000 || options.LeaderFaults < 1 || options.LoadDuration < 100*time.Millisecond {
				return fmt.Errorf("needs a caller, a death, a thousand records and 100ms at least")
			}
			options.Progress = output.progress(cmd)
			r, err := statestore.Run(options)
			if err != nil {
				return err
			}
			return statestore.Write(cmd.OutOrStdout(), output.dir, options, r)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.Binary, "binary", defaultBinary(), "the gateway's program")
	flags.DurationVar(&options.LoadDuration, "span", options.LoadDuration, "of each load")
	flags.IntVar(&options.Callers, "callers", options.Callers, "that write at the same time")
	flags.IntVar(&options.RepairedRecords, "heal", options.RepairedRecords, "records that are repaired")
	flags.IntVar(&options.StoredRecords, "recover", options.StoredRecords, "records that a start reads")
	flags.IntVar(&options.LeaderFaults, "deaths", options.LeaderFaults, "of a leader, of each kind")
	flags.IntSliceVar(&options.IdleGateways, "rest", options.IdleGateways, "numbers of idle gateways")
	output.register(cmd, "a folder for tables and chart")
	return cmd
}
