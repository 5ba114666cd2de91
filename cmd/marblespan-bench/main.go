// Command marblespan-bench runs measurements and experiments with real gateway processes. It is a separate program so that the
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

// rootCommand returns the root command with one sub-command for each experiment.
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

// defaultBinary returns the default path of the gateway's binary: marblespan in the directory of this program.
func defaultBinary() string {
	self, err := os.Executable()
	if err != nil {
		return testcluster.Defaults().Binary
	}
	return filepath.Join(filepath.Dir(self), "marblespan")
}

// interrupted returns a channel that is closed at the first Ctrl-C or SIGTERM. Its goroutine ends at that signal or with the program.
// A second signal terminates the program at once; the kernel then kills the processes that the program has started.
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
	dir   string // directory for tables and charts; empty: none are written
	quiet bool
}

// register adds the flags to a sub-command; usage is the help text of --out.
func (f *outputFlags) register(cmd *cobra.Command, usage string) {
	cmd.Flags().StringVar(&f.dir, "out", "", usage)
	cmd.Flags().BoolVar(&f.quiet, "quiet", false, "print no progress on standard error")
}

// progress returns the writer for progress messages: standard error, or io.Discard with --quiet.
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
	flags.StringVar(&options.Binary, "binary", defaultBinary(), "path of the gateway's binary")
	flags.StringVar(&fault, "fault", "", "fault to show, one of "+fmt.Sprint(demo.FaultNames()))
	flags.DurationVar(&duration, "for", 0, "how long to run; 0: until Ctrl-C")
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
	flags.StringVar(&options.Cluster.Binary, "binary", defaultBinary(), "path of the gateway's binary")
	flags.IntVar(&options.Cluster.Nodes, "nodes", options.Cluster.Nodes, "number of gateways")
	flags.BoolVar(&stateStore, "state-store", false, "replicate session positions in the state store of the gateways")
	flags.BoolVar(&stateStore, "copies", false, "the former name of --state-store")
	if err := flags.MarkDeprecated("copies", "use --state-store"); err != nil {
		panic(err) // happens only if the flag is not defined
	}
	flags.BoolVar(&inDoubt, "in-doubt", false, "record bookings as intents before they are sent, and have clients retry them")
	flags.IntVar(&options.Cluster.Replicas, "replicas", options.Cluster.Replicas, "number of replicas in the single group of servers")
	flags.StringVar(&options.Script, "script", "", "file with a fault script; empty: random faults")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the random faults")
	flags.DurationVar(&options.Duration, "for", options.Duration, "length of a run with random faults")
	flags.IntVar(&options.Runs, "runs", options.Runs, "number of runs, with consecutive seeds or the same script")
	flags.IntVar(&options.ShrinkRuns, "shrink", options.ShrinkRuns, "maximum number of runs to find the fewest faults that still fail; 0: do not shrink")
	output.register(cmd, "directory for histories, scripts, logs and charts")
	return cmd
}

// useStateStore makes the gateways replicate session positions, and adds clients that read in their sessions.
func useStateStore(options *chaos.Options) {
	options.Cluster.StateStore, options.Load.SessionReaders = testcluster.DefaultStateStore(), 4
}

// useInDoubt makes the gateways record intents and the clients retry. Intents need a state store. If the options have no state
// store yet, useInDoubt adds a state store that does not keep session positions.
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
				return fmt.Errorf("at least two gateways, one client and one trial are required")
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
					return fmt.Errorf("%s: lost requests %q, violations %q", r.Kind, r.LostRequests, r.Violations)
				}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.Binary, "binary", options.Binary, "path of the gateway's binary")
	flags.IntVar(&options.Trials, "trials", options.Trials, "number of take-overs for each kind of fault")
	flags.StringSliceVar(&options.Kinds, "kinds", options.Kinds, "kinds of fault that cause a take-over")
	flags.DurationVar(&options.Interval, "interval", options.Interval, "time between two advertisements")
	flags.IntSliceVar(&options.Priorities, "priorities", options.Priorities, "priorities of the gateways, the highest first")
	flags.IntVar(&options.Clients, "clients", options.Clients, "number of clients of the floating address, and also of the load balancer")
	flags.DurationVar(&options.ThinkTime, "think", options.ThinkTime, "pause of a client between two bookings")
	flags.DurationVar(&options.ServerWork, "work", options.ServerWork, "time that a server works on a booking")
	flags.DurationVar(&options.BalancerDetectionDelay, "notice", options.BalancerDetectionDelay, "time after which the load balancer detects a dead gateway")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the random moments at which faults happen")
	output.register(cmd, "directory for the table and the chart")
	return cmd
}

func membersCommand() *cobra.Command {
	options, output := members.Defaults(), outputFlags{}
	binary, nodes, trials := "", 9, 0
	faultDuration, baselineDuration, interval := time.Duration(options.FaultDuration)*time.Microsecond, time.Duration(options.BaselineFaultDuration)*time.Microsecond, time.Duration(options.Interval)*time.Microsecond
	cmd := &cobra.Command{
		Use: "members", Short: "Compare failure detectors in a simulation of hundreds of members", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Members < 4 || options.Kills < 1 || options.MassFailures < 1 || interval < 50*time.Millisecond {
				return fmt.Errorf("at least four members, one kill of each kind and an interval of 50ms are required")
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
	flags.IntVar(&options.Members, "members", options.Members, "number of simulated members")
	flags.DurationVar(&interval, "interval", interval, "time between two probes, and between two heartbeats")
	flags.IntVar(&options.Kills, "kills", options.Kills, "number of kills of a single member")
	flags.IntVar(&options.MassFailures, "masses", options.MassFailures, "number of simulations in which 46 % of the members are killed at once")
	flags.DurationVar(&faultDuration, "span", faultDuration, "simulated duration of each fault for the gateways' own detector")
	flags.IntVar(&trials, "processes", trials, "number of additional kills of each kind with real processes; 0: none")
	flags.IntVar(&nodes, "nodes", nodes, "number of real processes")
	flags.StringVar(&binary, "binary", defaultBinary(), "path of the gateway's binary")
	flags.DurationVar(&baselineDuration, "brief", baselineDuration, "simulated duration of each fault for the baselines")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "random seed")
	output.register(cmd, "directory for tables and chart")
	return cmd
}

func inDoubtCommand() *cobra.Command {
	options, output := indoubt.Defaults(), outputFlags{}
	cmd := &cobra.Command{
		Use: "in-doubt", Aliases: []string{"doubt"}, Short: "Measure bookings whose intents are recorded before they are sent", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Clients < 1 || options.TakeOvers < 1 || options.LoadDuration < 100*time.Millisecond {
				return fmt.Errorf("at least one client, one trial and a load of 100ms are required")
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
	flags.StringVar(&options.Binary, "binary", defaultBinary(), "path of the gateway's binary")
	flags.DurationVar(&options.LoadDuration, "span", options.LoadDuration, "duration of each load")
	flags.IntVar(&options.Clients, "clients", options.Clients, "number of concurrent clients")
	flags.IntVar(&options.TakeOvers, "trials", options.TakeOvers, "number of take-overs of each kind")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the random moments of the take-overs")
	output.register(cmd, "directory for tables and chart")
	return cmd
}

func maintenanceCommand() *cobra.Command {
	options, output := maintenance.Defaults(), outputFlags{}
	cmd := &cobra.Command{
		Use: "maintenance", Aliases: []string{"maintain"}, Short: "Measure a maintenance run: every machine is taken out and returned, in the order that the gateways agree on", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Gateways < 4 || options.Gateways > testcluster.MaxNodes || options.FaultTrials < 0 {
				return fmt.Errorf("4 to %d gateways are required, and the number of trials with a fault must not be negative", testcluster.MaxNodes)
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
	flags.StringVar(&options.Binary, "binary", defaultBinary(), "path of the gateway's binary")
	flags.IntVar(&options.Gateways, "nodes", options.Gateways, "number of gateways")
	flags.IntVar(&options.FaultTrials, "faults", options.FaultTrials, "number of additional trials with a fault at a random moment")
	flags.DurationVar(&options.MaxDuration, "bound", options.MaxDuration, "maximum duration of the maintenance in one trial")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the random faults and their moments")
	output.register(cmd, "directory for table and chart")
	return cmd
}

func stateStoreCommand() *cobra.Command {
	options, output := statestore.Defaults(), outputFlags{}
	cmd := &cobra.Command{
		Use: "state-store", Aliases: []string{"copies"}, Short: "Measure the gateways' replicated state store", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Callers < 1 || options.RepairedRecords < 1000 || options.StoredRecords < 1000 || options.LeaderFaults < 1 || options.LoadDuration < 100*time.Millisecond {
				return fmt.Errorf("at least one caller, one leader fault of each kind, 1000 records and a load of 100ms are required")
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
	flags.StringVar(&options.Binary, "binary", defaultBinary(), "path of the gateway's binary")
	flags.DurationVar(&options.LoadDuration, "span", options.LoadDuration, "duration of each load")
	flags.IntVar(&options.Callers, "callers", options.Callers, "number of concurrent callers that write")
	flags.IntVar(&options.RepairedRecords, "heal", options.RepairedRecords, "number of records in the store that loses a gateway and repairs it")
	flags.IntVar(&options.StoredRecords, "recover", options.StoredRecords, "number of records in the storage file that a gateway reads at its start")
	flags.IntVar(&options.LeaderFaults, "deaths", options.LeaderFaults, "number of leader faults of each kind")
	flags.IntSliceVar(&options.IdleGateways, "rest", options.IdleGateways, "numbers of gateways whose traffic without writes is measured")
	output.register(cmd, "directory for tables and chart")
	return cmd
}
