// Command marblelab measures and experiments. It is apart from the gateway, whose binary stays small.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"marblespan/internal/lab/failover"
)

func main() {
	root := &cobra.Command{
		Use: "marblelab", Short: "Measurements and experiments with marblespan", SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(failoverCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "marblelab:", err)
		os.Exit(1)
	}
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
				if len(r.Faults) > 0 || r.Lost > 0 {
					return fmt.Errorf("%s: lost %q, not true %q", r.Kind, r.Losses, r.Faults)
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
	flags.DurationVar(&o.Think, "think", o.Think, "a client's pause between bookings")
	flags.DurationVar(&o.Work, "work", o.Work, "a booking's work at its server")
	flags.DurationVar(&o.Notice, "notice", o.Notice, "after which a front knows of a death")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "of the moments at which faults happen")
	flags.StringVar(&out, "out", "", "a folder for the table and the chart")
	flags.BoolVar(&quiet, "quiet", false, "no progress on standard error")
	return cmd
}
