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

// waitPoll is how often the order is looked at while a command waits.
const waitPoll = 500 * time.Millisecond

func (c *command) maintain() *cobra.Command {
	var socket, why string
	var raw, wait bool
	var span time.Duration
	group := &cobra.Command{
		Use: "maintain", Short: "Take machines out for work, in an order that the gateways settle", Args: noArguments,
		Long: "Machines are gateways, by their names among the members, and database servers, by their ids on the list. Where a name is both,\n" +
			"gateway:NAME or server:NAME. Any gateway may be asked.",
		RunE: func(*cobra.Command, []string) error { return c.listMaintenance(socket, raw) },
	}
	group.PersistentFlags().StringVar(&socket, "socket", "", "the gateway's control socket (default: as the operators' file says)")
	group.PersistentFlags().BoolVar(&raw, "json", false, "print the answer as JSON")
	say := func(words ...string) error {
		var answer string
		err := c.ask(socket, "maintain "+strings.Join(words, " "), &answer)
		if err == nil {
			fmt.Fprintln(c.out, answer)
		}
		return err
	}
	some := func(least int) cobra.PositionalArgs {
		return func(cmd *cobra.Command, args []string) error {
			if len(args) < least {
				return usageError{fmt.Errorf("%s takes the names of machines", cmd.CommandPath())}
			}
			return nil
		}
	}
	each := func(verb string) func(*cobra.Command, []string) error {
		return func(_ *cobra.Command, args []string) error {
			for _, name := range args {
				if err := say(verb, strconv.Quote(name)); err != nil {
					return err
				}
			}
			return nil
		}
	}
	add := &cobra.Command{
		Use: "add MACHINE...", Short: "Ask for machines to be taken out", Args: some(1),
		RunE: func(_ *cobra.Command, args []string) error {
			for _, name := range args {
				words := []string{"add", strconv.Quote(name), span.String()}
				if why != "" {
					words = append(words, strconv.Quote(why))
				}
				if err := say(words...); err != nil {
					return err
				}
			}
			if wait {
				return c.awaitOut(socket, args)
			}
			return nil
		},
	}
	add.Flags().DurationVar(&span, "for", 0, "how long the work takes at the most (default: as the operators' file says)")
	add.Flags().StringVar(&why, "why", "", "a reason, for whoever lists the order")
	add.Flags().BoolVar(&wait, "wait", false, "wait until each of them may be touched, one after the other, and tell what they wait for")
	list := &cobra.Command{
		Use: "list", Short: "Show the order, and what each machine waits for", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return c.listMaintenance(socket, raw) },
	}
	done := &cobra.Command{Use: "done MACHINE...", Short: "Say that the work at machines is over", Args: some(1), RunE: each("done")}
	drop := &cobra.Command{Use: "drop MACHINE...", Short: "Take machines out of the order, wherever they stand", Args: some(1), RunE: each("drop")}
	hold := &cobra.Command{
		Use: "hold", Short: "Let nobody go any more; who is about to leave stays, who is out stays out", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return say("hold") },
	}
	goOn := &cobra.Command{
		Use: "go [MACHINE...]", Short: "Let them go again; of a machine: whatever it waits for that only you can know is so", Args: some(0),
		Long: "Without a machine it ends a hold, and has machines that are overdue hold nobody up any more. With one: a machine that is overdue\n" +
			"holds nobody up; a primary goes although it is one; a server is not waited for by gateways that cannot be reached; a gateway\n" +
			"that died while it was leaving may be touched; one that is dead and not in the order is not waited for.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return say("go")
			}
			return each("go")(cmd, args)
		},
	}
	group.AddCommand(add, list, done, drop, hold, goOn)
	return group
}

func (c *command) maintenance(socket string) (s gateway.MaintenanceStatus, err error) {
	return s, c.ask(socket, "maintain", &s)
}

func (c *command) listMaintenance(socket string, raw bool) error {
	s, err := c.maintenance(socket)
	if err != nil {
		return err
	}
	if raw {
		return writeJSON(c.out, s)
	}
	if s.Leader == "" {
		fmt.Fprintf(c.out, "the ledger does not answer: this is what %s knows, and nobody goes\n", s.Node)
	}
	if s.Paused {
		fmt.Fprintln(c.out, "all are held")
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "PLACE\tMACHINE\tKIND\tSTATE\tFOR\tWORK\tWAITS FOR\tWHY\tASKED AT")
	for _, m := range s.Machines {
		place, name := "-", m.Machine
		if m.Position > 0 {
			place = strconv.Itoa(m.Position)
		}
		if m.Kind == "server" {
			name = fmt.Sprintf("%s of group %d", name, m.Group)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%s\t%s\t%s\n", place, name, m.Kind, m.State, millis(m.ForMS).Round(time.Second), millis(m.WorkMS), dash(m.Waits),
			dash(m.Comment), dash(m.RequestedBy))
	}
	return w.Flush()
}

// awaitOut waits until machines may be touched, one after the other, and tells what they wait for whenever that changes. A
// gateway that does not answer is asked again: it may be the one that is taken out.
func (c *command) awaitOut(socket string, names []string) error {
	last := map[string]string{}
	for left := names; len(left) > 0; time.Sleep(waitPoll) {
		s, err := c.maintenance(socket)
		if err != nil {
			if last[""] != err.Error() {
				last[""] = err.Error()
				fmt.Fprintln(c.errs, "marblespan:", err)
			}
			continue
		}
		var next []string
		for _, name := range left {
			m, known := machineIn(s, name)
			text := fmt.Sprintf("%s: %s", name, m.State)
			if m.Waits != "" {
				text += ", waits for " + m.Waits
			}
			switch {
			case !known:
				return fmt.Errorf("%s is not in the order any more", name)
			case m.State == "out" || m.State == "overdue":
				text = name + " may be touched"
			case m.State == "dropped":
				return fmt.Errorf("%s was dropped", name)
			case m.State != "returning" && m.State != "back":
				next = append(next, name)
			}
			if last[name] != text {
				last[name] = text
				fmt.Fprintln(c.out, text)
			}
		}
		left = next
	}
	return nil
}

// machineIn finds the latest machine of a name as an operator writes it.
func machineIn(s gateway.MaintenanceStatus, name string) (m gateway.MachineStatus, known bool) {
	kind, bare, said := strings.Cut(name, ":")
	if !said || kind != "gateway" && kind != "server" {
		kind, bare = "", name
	}
	for _, x := range s.Machines {
		if x.Machine == bare && (kind == "" || x.Kind == kind) {
			m, known = x, true
		}
	}
	return m, known
}
