package cli

import (
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"marblespan/internal/gateway"
)

// waitPoll is how often a command that waits asks for the order.
const waitPoll = 500 * time.Millisecond

func (c *command) maintenance() *cobra.Command {
	group := &cobra.Command{
		Use: "maintenance", Short: "Take machines out for maintenance, in an order that the gateways agree on", Args: noArguments,
		Long: "Machines are gateways, by their names among the members, and database servers, by their ids on the list. Where a name is both,\n" +
			"gateway:NAME or server:NAME. Any gateway may be asked.",
	}
	q := c.newQuery(group.PersistentFlags())
	group.RunE = func(*cobra.Command, []string) error { return q.printMaintenance() }
	group.AddCommand(q.addMachines(), q.listMachines(), q.workDone(), q.cancel(), q.pause(), q.resume())
	return group
}

func (q *query) addMachines() *cobra.Command {
	var duration time.Duration
	var reason string
	var wait bool
	cmd := &cobra.Command{
		Use: "add MACHINE...", Short: "Ask for machines to be taken out", Args: minMachines(1),
		RunE: func(_ *cobra.Command, machines []string) error {
			for _, machine := range machines {
				question := fmt.Sprintf("maintain add %q %v", machine, duration)
				if reason != "" {
					question += " " + strconv.Quote(reason)
				}
				if err := q.printSentence(question); err != nil {
					return err
				}
			}
			if wait {
				return q.awaitOut(machines)
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&duration, "for", 0, "how long the work takes at the most (default: as the operators' file says)")
	cmd.Flags().StringVar(&reason, "why", "", "a reason, for whoever lists the order")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until each of them may be touched, one after the other, and tell what they wait for")
	return cmd
}

func (q *query) listMachines() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Show the order, and what each machine waits for", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return q.printMaintenance() },
	}
}

func (q *query) workDone() *cobra.Command {
	return &cobra.Command{
		Use: "done MACHINE...", Short: "Say that the work at machines is over", Args: minMachines(1),
		RunE: func(_ *cobra.Command, machines []string) error { return q.printSentences("maintain done", machines) },
	}
}

func (q *query) cancel() *cobra.Command {
	return &cobra.Command{
		Use: "cancel MACHINE...", Short: "Take machines out of the order, wherever they stand", Args: minMachines(1),
		RunE: func(_ *cobra.Command, machines []string) error { return q.printSentences("maintain drop", machines) },
	}
}

func (q *query) pause() *cobra.Command {
	return &cobra.Command{
		Use: "pause", Short: "Take no further machine out; one that is about to leave stays, one that is out stays out", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return q.printSentence("maintain hold") },
	}
}

func (q *query) resume() *cobra.Command {
	return &cobra.Command{
		Use: "resume [MACHINE...]", Short: "Go on; for a machine: whatever it waits for that only you can know is so", Args: minMachines(0),
		Long: "Without a machine it ends a pause, and has machines that are overdue hold nobody up any more. With one: a machine that is overdue\n" +
			"holds nobody up; a primary goes although it is one; a server is not waited for by gateways that cannot be reached; a gateway\n" +
			"that died while it was leaving may be touched; one that is dead and not in the order is not waited for.",
		RunE: func(_ *cobra.Command, machines []string) error {
			if len(machines) == 0 {
				return q.printSentence("maintain go")
			}
			return q.printSentences("maintain go", machines)
		},
	}
}

// printSentences asks a question for each machine.
func (q *query) printSentences(question string, machines []string) error {
	for _, machine := range machines {
		if err := q.printSentence(question + " " + strconv.Quote(machine)); err != nil {
			return err
		}
	}
	return nil
}

func minMachines(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) < n {
			return usageError{fmt.Errorf("%s takes the names of machines", cmd.CommandPath())}
		}
		return nil
	}
}

func (q *query) maintenanceStatus() (s gateway.MaintenanceStatus, err error) {
	return s, q.fetch("maintain", &s)
}

func (q *query) printMaintenance() error {
	s, err := q.maintenanceStatus()
	if err != nil {
		return err
	}
	if q.json {
		return writeJSON(q.out, s)
	}
	if s.Leader == "" {
		fmt.Fprintf(q.out, "the ledger does not answer: this is what %s knows, and nobody goes\n", s.Node)
	}
	if s.Paused {
		fmt.Fprintln(q.out, "all are held")
	}
	w := tabwriter.NewWriter(q.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "PLACE\tMACHINE\tKIND\tSTATE\tFOR\tWORK\tWAITS FOR\tWHY\tASKED AT")
	for _, m := range s.Machines {
		place, name := "-", m.Machine
		if m.Position > 0 {
			place = strconv.Itoa(m.Position)
		}
		if m.Kind == "server" {
			name = fmt.Sprintf("%s of group %d", name, m.Group)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%s\t%s\t%s\n", place, name, m.Kind, m.State, milliseconds(m.ForMS).Round(time.Second),
			milliseconds(m.WorkMS), orDash(m.Waits), orDash(m.Comment), orDash(m.RequestedBy))
	}
	return w.Flush()
}

// awaitOut waits until all machines may be touched, and prints what each of them waits for whenever that changes. A gateway
// that does not answer is asked again: it may be the one that is taken out.
func (q *query) awaitOut(machines []string) error {
	printed := map[string]string{} // of each machine, the last line; of "", the last error
	for waiting := machines; len(waiting) > 0; time.Sleep(waitPoll) {
		s, err := q.maintenanceStatus()
		if err != nil {
			if printed[""] != err.Error() {
				printed[""] = err.Error()
				fmt.Fprintln(q.errs, "marblespan:", err)
			}
			continue
		}
		var stillWaiting []string
		for _, machine := range waiting {
			text, out, err := progress(s, machine)
			if err != nil {
				return err
			}
			if !out {
				stillWaiting = append(stillWaiting, machine)
			}
			if printed[machine] != text {
				printed[machine] = text
				fmt.Fprintln(q.out, text)
			}
		}
		waiting = stillWaiting
	}
	return nil
}

// progress says how far a machine is on its way out, and whether it is out. It fails if the machine will not be.
func progress(s gateway.MaintenanceStatus, machine string) (text string, out bool, err error) {
	m, known := findMachine(s, machine)
	switch {
	case !known:
		return "", false, fmt.Errorf("%s is not in the order any more", machine)
	case m.State == "out" || m.State == "overdue":
		return machine + " may be touched", true, nil
	case m.State == "dropped":
		return "", false, fmt.Errorf("%s was dropped", machine)
	}
	text = fmt.Sprintf("%s: %s", machine, m.State)
	if m.Waits != "" {
		text += ", waits for " + m.Waits
	}
	return text, m.State == "returning" || m.State == "back", nil
}

// findMachine finds the latest machine of a name as an operator writes it: NAME, gateway:NAME or server:NAME.
func findMachine(s gateway.MaintenanceStatus, name string) (machine gateway.MachineStatus, known bool) {
	kind, bare, hasKind := strings.Cut(name, ":")
	if !hasKind || kind != "gateway" && kind != "server" {
		kind, bare = "", name
	}
	for _, x := range s.Machines {
		if x.Machine == bare && (kind == "" || x.Kind == kind) {
			machine, known = x, true
		}
	}
	return machine, known
}
