package cli

import (
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"marblespan/internal/floatingip"
)

func (c *command) vrrp() *cobra.Command {
	group := &cobra.Command{
		Use: "vrrp", Short: "Floating addresses", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return usageError{errors.New("vrrp needs a command: status")} },
	}
	status := &cobra.Command{Use: "status", Short: "Show the floating addresses of a gateway, and which of them it holds", Args: noArguments}
	q := c.newQuery(status.Flags())
	status.RunE = func(*cobra.Command, []string) error { return q.printFloatingAddresses() }
	group.AddCommand(status)
	return group
}

func (q *query) printFloatingAddresses() error {
	var all []floatingip.Status
	if err := q.fetch("vrrp status", &all); err != nil {
		return err
	}
	if q.json {
		return writeJSON(q.out, all)
	}
	w := tabwriter.NewWriter(q.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tVRID\tADDRESSES\tSTATE\tDURATION\tPRIORITY\tREADY\tFAILED CONDITIONS\tACTIVE ROUTER\tACTIVATION\tPREEMPTION BLOCKED")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%v\t%d of %d\t%s\t%s\t%s\t%d\t%v\n", s.Group, s.VRID, strings.Join(s.Addresses, ","),
			s.State, milliseconds(s.StateDurationMS), s.Priority, s.ConfiguredPriority, yesOrNo(s.Ready), orDash(strings.Join(s.FailedConditions, ",")), orDash(s.ActiveRouter),
			s.Activation, milliseconds(s.PreemptBlockedMS))
	}
	return w.Flush()
}
