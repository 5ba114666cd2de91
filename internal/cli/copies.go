package cli

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"marblespan/internal/config"
	"marblespan/internal/gateway"
)

// larger is the program that has the store, beside this one.
const larger = "marblespan-raft"

// become turns this process into the larger program, with the same arguments. It returns only if that cannot be.
func become(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), larger)
	if err := syscall.Exec(path, append([]string{path}, args...), os.Environ()); err != nil {
		return fmt.Errorf("copies need %s beside this program: %w", larger, err)
	}
	return nil
}

// needsStore tells whether the gateway that is to run has a copies section, which this program cannot serve.
func needsStore(ops *config.Operators) bool {
	return gateway.OpenStore == nil && ops != nil && ops.StateStore != nil
}

func (c *command) copies() *cobra.Command {
	var socket string
	var raw, first bool
	group := &cobra.Command{
		Use: "copies", Short: "Ask a running gateway what gateways hold for each other", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return c.listCopies(socket, raw) },
	}
	group.PersistentFlags().StringVar(&socket, "socket", "", "the gateway's control socket (default: as the operators' file says)")
	group.PersistentFlags().BoolVar(&raw, "json", false, "print the answer as JSON")
	say := func(question string) error {
		var answer string
		err := c.ask(socket, question, &answer)
		if err == nil {
			fmt.Fprintln(c.out, answer)
		}
		return err
	}
	found := &cobra.Command{
		Use: "found", Short: "Make a new store, with the asked gateway as its first holder", Args: noArguments,
		Long: "Makes a new store, with the asked gateway as its first holder; the others join by themselves. What is not found in it\n" +
			"counts as lost for a day, unless --first says that there was none before.",
		RunE: func(*cobra.Command, []string) error {
			if first {
				return say("copies found first")
			}
			return say("copies found")
		},
	}
	found.Flags().BoolVar(&first, "first", false, "there was no store before whose records could be missed")
	one := func(what string) cobra.PositionalArgs {
		return func(cmd *cobra.Command, args []string) error {
			if len(args) != 1 {
				return usageError{fmt.Errorf("%s takes %s", cmd.CommandPath(), what)}
			}
			return nil
		}
	}
	gone := &cobra.Command{
		Use: "gone NODE", Short: "Say that a gateway's disk will never come back, where the ledger is led", Args: one("the name of a gateway"),
		RunE: func(_ *cobra.Command, args []string) error { return say("copies gone " + strconv.Quote(args[0])) },
	}
	anew := &cobra.Command{
		Use: "anew SHARD", Short: "Say that a shard cannot go on, where the ledger is led: what it held is lost, and known to be", Args: one("the number of a shard"),
		RunE: func(_ *cobra.Command, args []string) error {
			shard, err := strconv.ParseUint(args[0], 10, 32)
			if err != nil {
				return usageError{fmt.Errorf("%q is no shard's number", args[0])}
			}
			return say(fmt.Sprint("copies anew ", shard))
		},
	}
	check := &cobra.Command{
		Use: "check FILE", Short: "Read the file of a store that is not running, and tell whether it is whole", Args: one("a file"),
		RunE: func(_ *cobra.Command, args []string) error {
			if gateway.CheckStore == nil {
				return become(c.args)
			}
			return gateway.CheckStore(args[0], raw, c.out)
		},
	}
	group.AddCommand(found, gone, anew, check)
	return group
}

func (c *command) listCopies(socket string, raw bool) error {
	var s gateway.StateStoreStatus
	if err := c.ask(socket, "copies", &s); err != nil {
		return err
	}
	if raw {
		return writeJSON(c.out, s)
	}
	if s.BootstrapID == "" {
		return errors.New("there is no store yet; `marblespan copies found` at one of the holders makes it")
	}
	fmt.Fprintf(c.out, "store %s, ledger at %d, %d copies, records of format %d\n", s.BootstrapID, s.Index, s.Voters, s.Format)
	if s.Failed != "" {
		fmt.Fprintf(c.out, "%s holds nothing any more: %s\n", s.Node, s.Failed)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "DISK\tGATEWAY\tZONE\tWEIGHT\tSTATE")
	for _, d := range s.Stores {
		state := "there"
		if d.Removed {
			state = "lost"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", d.Number, d.Node, dash(d.Zone), d.Weight, state)
	}
	w.Flush()
	w = tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SHARD\tEPOCH\tHOLDERS\tUNDER WAY\tLEADER\tBEHIND\tRECORDS\tBYTES")
	for _, g := range s.Groups {
		name := strconv.Itoa(int(g.Group))
		if g.Group == 0 {
			name = "ledger"
		}
		var holders []string
		for _, r := range g.Replicas {
			label := r.Node
			if r.Lost {
				label += " (lost)"
			}
			holders = append(holders, label)
		}
		way := ""
		if g.Adding != nil {
			way = "+" + g.Adding.Node
			for _, r := range g.Replicas {
				if r.Number == g.Removing {
					way += " -" + r.Node
				}
			}
		}
		if g.Lost {
			way = strings.TrimSpace(way + " lost before")
		}
		leader, behind, records, bytes := "-", "-", "-", "-"
		if h := g.Here; h != nil {
			leader, behind, records, bytes = dash(h.Leader), fmt.Sprint(h.Last-h.Applied), fmt.Sprint(h.Records), fmt.Sprint(h.Bytes)
			if h.Unsure {
				leader = "asks the others"
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", name, g.Epoch, strings.Join(holders, ","), dash(way), leader, behind, records, bytes)
	}
	return w.Flush()
}
