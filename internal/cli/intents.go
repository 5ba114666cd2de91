package cli

import (
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"marblespan/internal/gateway"
)

func (c *command) intents() *cobra.Command {
	var socket string
	var raw bool
	cmd := &cobra.Command{
		Use: "intents", Short: "Ask a running gateway which bookings it has in hand, and how they end", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return c.listIntents(socket, raw) },
	}
	cmd.Flags().StringVar(&socket, "socket", "", "the gateway's control socket (default: as the operators' file says)")
	cmd.Flags().BoolVar(&raw, "json", false, "print the answer as JSON")
	return cmd
}

func (c *command) listIntents(socket string, raw bool) error {
	var s gateway.IntentsStatus
	if err := c.ask(socket, "intents", &s); err != nil {
		return err
	}
	if raw {
		return writeJSON(c.out, s)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "BOOKING\tREQUEST\tCLASS\tPHASE\tFOR\tRECORD\tOWNER\tSERVER\tATTEMPT")
	for _, x := range s.Open {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%s\t%s\t%s\t%d\n", x.Booking, x.ID, x.Class, x.Phase, millis(x.ForMS), dash(x.State), dash(x.Owner),
			dash(x.Server), x.Attempt)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	var names []string
	for name := range s.Counts {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Fprintf(c.out, "since its start:")
	for _, name := range names {
		fmt.Fprintf(c.out, " %s %d", name, s.Counts[name])
	}
	fmt.Fprintln(c.out)
	return nil
}
