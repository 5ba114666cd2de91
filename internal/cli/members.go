package cli

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"marblespan/internal/gossip"
)

func (c *command) members() *cobra.Command {
	var streams bool
	cmd := &cobra.Command{Use: "members", Short: "Show the members and their states, as a gateway sees them", Args: noArguments}
	q := c.newQuery(cmd.Flags())
	cmd.Flags().BoolVar(&streams, "streams", false, "also test a TCP stream to each member and back, because datagrams may get through where streams do not")
	cmd.RunE = func(*cobra.Command, []string) error { return q.printMembers(streams) }
	return cmd
}

func (q *query) printMembers(streams bool) error {
	var s gossip.Status
	question, streamColumn := "members", ""
	if streams {
		question, streamColumn = "members streams", "\tSTREAM"
	}
	if err := q.fetch(question, &s); err != nil {
		return err
	}
	if q.json {
		return writeJSON(q.out, s)
	}
	if s.Excluded {
		fmt.Fprintf(q.out, "another process uses the name %s; this gateway is excluded from the membership\n", s.Node)
	}
	if s.LocalHealth > 1 {
		fmt.Fprintf(q.out, "%s misses responses that other members receive; its timeouts are multiplied by %d\n", s.Node, s.LocalHealth)
	}
	w := tabwriter.NewWriter(q.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSTATE\tDURATION\tREPORTED BY\tSTARTED\tADDRESS\tLAST MESSAGE\tROUND TRIP\tZONE\tWEIGHT\tVERSION\tSETTINGS\tFLAGS\tLOST PATHS"+streamColumn)
	for _, m := range s.Members {
		fmt.Fprint(w, memberRow(m))
		switch {
		case m.StreamFault != "":
			fmt.Fprintf(w, "\t%s", m.StreamFault)
		case streams:
			fmt.Fprintf(w, "\t%s", roundTrip(m.StreamMicros))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// memberRow returns a member's row of the table, without the column STREAM.
func memberRow(m gossip.Member) string {
	name, lastReceived, settings := m.Name, "-", "same"
	if m.Self {
		name += " (this one)"
	} else if m.LastReceivedMS >= 0 {
		lastReceived = milliseconds(m.LastReceivedMS).String()
	}
	if m.SettingsDiffer {
		settings = "differ"
	}
	started := time.UnixMicro(int64(m.Generation)).UTC().Format("2006-01-02T15:04:05.000")
	return fmt.Sprintf("%s\t%s\t%v\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s", name, m.State, milliseconds(m.ForMS), orDash(m.ReportedBy),
		started, m.Address, lastReceived, roundTrip(m.RTTMicros), orDash(m.Zone), m.Weight,
		orDash(m.Version), settings, orDash(strings.Join(m.Flags, ",")), orDash(strings.Join(m.LostPaths, ",")))
}
