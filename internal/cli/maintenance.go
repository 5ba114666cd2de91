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

// waitPoll is the interval at which a waiting command queries the maintenance order.
const waitPoll = 500 * time.Millisecond

func (c *command) maintenance() *cobra.Command {
	group := &cobra.Command{
		Use: "maintenance", Short: "Take machines out of service for maintenance, in an order that the gateways agree on", Args: noArguments,
		Long: "Machines are gateways and database servers. A gateway has the name of its member, a server its id in the endpoint list. If a gateway\n" +
			"and a server have the same name, write gateway:NAME or server:NAME. The command may be sent to any gateway.",
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
		Use: "add MACHINE...", Short: "Request that machines be taken out of service", Args: minMachines(1),
		RunE: func(_ *cobra.Command, machines []string) error {
			for _, machine := range machines {
				question := fmt.Sprintf("maintain add %q %v", machine, duration)
				if reason != "" {
					question += " " + strconv.Quote(reason)
				}
				if err := q.printAnswer(question); err != nil {
					return err
				}
			}
			if wait {
				return q.awaitOut(machines)
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&duration, "for", 0, "maximum duration of the work (default: the one in the operators' file)")
	cmd.Flags().StringVar(&reason, "why", "", "a reason, which the list of the order shows")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until all machines are out of service, and print what each of them waits for")
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
		Use: "done MACHINE...", Short: "Report that the work at machines is over", Args: minMachines(1),
		RunE: func(_ *cobra.Command, machines []string) error { return q.printAnswers("maintain done", machines) },
	}
}

func (q *query) cancel() *cobra.Command {
	return &cobra.Command{
		Use: "cancel MACHINE...", Short: "Remove machines from the order, whatever their state", Args: minMachines(1),
		RunE: func(_ *cobra.Command, machines []string) error { return q.printAnswers("maintain drop", machines) },
	}
}

func (q *query) pause() *cobra.Command {
	return &cobra.Command{
		Use: "pause", Short: "Take no further machines out of service; a machine that has not left yet stays in service, one that is out stays out", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return q.printAnswer("maintain hold") },
	}
}

func (q *query) resume() *cobra.Command {
	return &cobra.Command{
		Use: "resume [MACHINE...]", Short: "End a pause, or confirm for a machine that the order may go on", Args: minMachines(0),
		Long: "Without a machine, the command ends a pause, and overdue machines no longer delay the others. With a machine, it confirms what\n" +
			"only an operator can know: an overdue machine, or a dead gateway outside the order, no longer delays the others; a primary may be\n" +
			"taken out; a server does not wait for unreachable gateways; work may begin on a gateway that died while it was draining.",
		RunE: func(_ *cobra.Command, machines []string) error {
			if len(machines) == 0 {
				return q.printAnswer("maintain go")
			}
			return q.printAnswers("maintain go", machines)
		},
	}
}

// printAnswers sends a question for each machine and prints the answers.
func (q *query) printAnswers(question string, machines []string) error {
	for _, machine := range machines {
		if err := q.printAnswer(question + " " + strconv.Quote(machine)); err != nil {
			return err
		}
	}
	return nil
}

// minMachines returns the argument check of commands that take the names of at least n machines.
func minMachines(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) < n {
			return usageError{fmt.Errorf("%s takes the names of one or more machines", cmd.CommandPath())}
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
		fmt.Fprintf(q.out, "the ledger does not respond: this is the order as last known to %s, and no machine is taken out of service\n", s.Node)
	}
	if s.Paused {
		fmt.Fprintln(q.out, "the maintenance order is paused")
	}
	w := tabwriter.NewWriter(q.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "POSITION\tMACHINE\tKIND\tSTATE\tDURATION\tWORK LIMIT\tWAITING FOR\tREASON\tREQUESTED VIA")
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

// awaitOut waits until all machines are out of service. It prints a machine's state and what the machine waits for whenever
// either changes. If the gateway does not answer, awaitOut tries again, because that gateway may itself be the machine that is
// taken out.
func (q *query) awaitOut(machines []string) error {
	printed := map[string]string{} // the last line printed for each machine; the key "" has the last error
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

// progress returns a line about a machine's state, and whether the machine is or has been out of service. It returns an error if
// the machine will not be taken out.
func progress(s gateway.MaintenanceStatus, machine string) (text string, out bool, err error) {
	m, known := findMachine(s, machine)
	switch {
	case !known:
		return "", false, fmt.Errorf("%s is no longer in the order", machine)
	case m.State == "out" || m.State == "overdue":
		return machine + " is out of service: work on it may begin", true, nil
	case m.State == "dropped":
		return "", false, fmt.Errorf("%s was removed from the order", machine)
	}
	text = fmt.Sprintf("%s: %s", machine, m.State)
	if m.Waits != "" {
		text += ", waits for " + m.Waits
	}
	return text, m.State == "returning" || m.State == "back", nil
}

// findMachine returns the last entry in the order for a machine. An operator writes the machine's name as NAME, gateway:NAME or
// server:NAME.
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
