package cli

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"marblespan/internal/gateway"
)

func (c *command) intents() *cobra.Command {
	cmd := &cobra.Command{Use: "intents", Short: "Show a gateway's in-doubt writes in flight, and how many have ended in which way", Args: noArguments}
	q := c.newQuery(cmd.Flags())
	cmd.RunE = func(*cobra.Command, []string) error { return q.printIntents() }
	return cmd
}

func (q *query) printIntents() error {
	var s gateway.IntentsStatus
	if err := q.fetch("intents", &s); err != nil {
		return err
	}
	if q.json {
		return writeJSON(q.out, s)
	}
	w := tabwriter.NewWriter(q.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "BOOKING\tREQUEST\tCLASS\tPHASE\tDURATION\tSTORED STATE\tOWNER\tSERVER\tATTEMPT")
	for _, x := range s.Open {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%s\t%s\t%s\t%d\n", x.Booking, x.ID, x.Class, x.Phase, milliseconds(x.ForMS), orDash(x.State), orDash(x.Owner),
			orDash(x.Server), x.Attempt)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(q.out, "totals since the gateway started:")
	for _, name := range slices.Sorted(maps.Keys(s.Counts)) {
		fmt.Fprintf(q.out, " %s %d", name, s.Counts[name])
	}
	fmt.Fprintln(q.out)
	return nil
}
