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

// raftProgram is the program that includes the state store. It is in the same directory as the running program.
const raftProgram = "marblespan-raft"

// execRaftProgram replaces this process with the program that includes the state store. It returns only if the replacement fails.
func execRaftProgram(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), raftProgram)
	if err := syscall.Exec(path, append([]string{path}, args...), os.Environ()); err != nil {
		return fmt.Errorf("the state store needs %s beside this program: %w", raftProgram, err)
	}
	return nil
}

// needsRaftProgram reports whether the operators' file has a state-store section and this program does not include the state
// store.
func needsRaftProgram(operators *config.Operators) bool {
	return gateway.OpenStore == nil && operators != nil && operators.StateStore != nil
}

func (c *command) stateStore() *cobra.Command {
	group := &cobra.Command{Use: "state-store", Short: "Show the state store of the gateways, as a gateway sees it", Args: noArguments}
	q := c.newQuery(group.PersistentFlags())
	group.RunE = func(*cobra.Command, []string) error { return q.printStateStore() }
	group.AddCommand(q.bootstrap(), q.removeStore(), q.resetShard(), q.checkStore())
	return group
}

func (q *query) bootstrap() *cobra.Command {
	var first bool
	cmd := &cobra.Command{
		Use: "bootstrap", Short: "Make a new store, with the queried gateway as its first Raft node", Args: noArguments,
		Long: "Makes a new store, with the queried gateway as its first Raft node; the other nodes join automatically. For a day, a record that\n" +
			"is not found in the store counts as lost, unless --first confirms that there was no store before.",
		RunE: func(*cobra.Command, []string) error {
			if first {
				return q.printAnswer("copies found first")
			}
			return q.printAnswer("copies found")
		},
	}
	cmd.Flags().BoolVar(&first, "first", false, "confirm that there was no store before whose records could be lost")
	return cmd
}

func (q *query) removeStore() *cobra.Command {
	return &cobra.Command{
		Use: "remove-store NODE", Short: "Report, to the gateway that leads the ledger, that a gateway's disk will never come back", Args: oneArgument("the name of a gateway"),
		RunE: func(_ *cobra.Command, args []string) error {
			return q.printAnswer("copies gone " + strconv.Quote(args[0]))
		},
	}
}

func (q *query) resetShard() *cobra.Command {
	return &cobra.Command{
		Use: "reset-shard SHARD", Short: "Reset, at the gateway that leads the ledger, a shard that cannot recover; its records are lost, and reported as lost", Args: oneArgument("the number of a shard"),
		RunE: func(_ *cobra.Command, args []string) error {
			shard, err := strconv.ParseUint(args[0], 10, 32)
			if err != nil {
				return usageError{fmt.Errorf("%q is not the number of a shard", args[0])}
			}
			return q.printAnswer(fmt.Sprint("copies anew ", shard))
		},
	}
}

func (q *query) checkStore() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check whether the file of a store that is not running is intact", Args: oneArgument("a file"),
		RunE: func(_ *cobra.Command, args []string) error {
			if gateway.CheckStore != nil {
				return gateway.CheckStore(args[0], q.json, q.out)
			}
			// The present name of the command is used even if the operator used the former name. The warning about the former
			// name has already been printed, and marblespan-raft must not print it again.
			raftArgs := []string{"state-store", "check", "--json=" + strconv.FormatBool(q.json), "--", args[0]}
			return execRaftProgram(raftArgs)
		},
	}
}

func (q *query) printStateStore() error {
	var s gateway.StateStoreStatus
	if err := q.fetch("copies", &s); err != nil {
		return err
	}
	if q.json {
		return writeJSON(q.out, s)
	}
	if s.BootstrapID == "" {
		return errors.New("there is no store yet; make it with `marblespan state-store bootstrap` at one of the Raft nodes")
	}
	fmt.Fprintf(q.out, "store %s, ledger index %d, %d voters, record format %d\n", s.BootstrapID, s.Index, s.Voters, s.Format)
	if s.Failed != "" {
		fmt.Fprintf(q.out, "%s no longer stores any records: %s\n", s.Node, s.Failed)
	}
	if err := q.printStores(s.Stores); err != nil {
		return err
	}
	return q.printRaftGroups(s.Groups)
}

func (q *query) printStores(stores []gateway.StoreStatus) error {
	w := tabwriter.NewWriter(q.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "STORE\tGATEWAY\tZONE\tWEIGHT\tSTATE")
	for _, d := range stores {
		state := "there"
		if d.Removed {
			state = "lost"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", d.Number, d.Node, orDash(d.Zone), d.Weight, state)
	}
	return w.Flush()
}

func (q *query) printRaftGroups(groups []gateway.GroupStatus) error {
	w := tabwriter.NewWriter(q.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SHARD\tEPOCH\tVOTERS\tCHANGE\tLEADER\tLAG\tRECORDS\tBYTES")
	for _, g := range groups {
		name := strconv.Itoa(int(g.Group))
		if g.Group == 0 {
			name = "ledger"
		}
		leader, behind, records, bytes := "-", "-", "-", "-"
		if here := g.Here; here != nil {
			leader, behind = orDash(here.Leader), fmt.Sprint(here.Last-here.Applied)
			records, bytes = fmt.Sprint(here.Records), fmt.Sprint(here.Bytes)
			if here.Unsure {
				leader = "recovering"
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", name, g.Epoch, voterNames(g), orDash(membershipChange(g)), leader, behind, records, bytes)
	}
	return w.Flush()
}

// voterNames returns the names of the gateways that have a voter of a group.
func voterNames(g gateway.GroupStatus) string {
	var names []string
	for _, r := range g.Replicas {
		name := r.Node
		if r.Lost {
			name += " (lost)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ",")
}

// membershipChange returns which members are being added and removed, and whether the group has lost its records before.
func membershipChange(g gateway.GroupStatus) string {
	change := ""
	if g.Adding != nil {
		change = "+" + g.Adding.Node
		for _, r := range g.Replicas {
			if r.Number == g.Removing {
				change += " -" + r.Node
			}
		}
	}
	if g.Lost {
		change = strings.TrimSpace(change + " records lost")
	}
	return change
}
