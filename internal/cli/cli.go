// Package cli is the command line of marblespan: one command for the gateway and a few that look at it from outside.
package cli

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"marblespan/internal/config"
	"marblespan/internal/config/lines"
	"marblespan/internal/control"
	"marblespan/internal/floatingip"
	"marblespan/internal/gateway"
	"marblespan/internal/gossip"
)

// The exit codes.
const (
	exitFault = 1 // a configuration is at fault, or the command failed
	exitUsage = 2 // the command line is
)

// usageError is a command line that cannot be understood.
type usageError struct{ error }

// Main runs the command line and returns its exit code.
func Main(args []string, env func(string) string, out, errs io.Writer) int {
	c := command{env: env, out: out, errs: errs, args: args}
	root := c.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage), strings.HasPrefix(err.Error(), "unknown command"):
		tell(errs, err)
		return exitUsage
	}
	tell(errs, err)
	return exitFault
}

// tell prints an error, a fault a line.
func tell(w io.Writer, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintln(w, "marblespan:", line)
	}
}

type command struct {
	env  func(string) string
	out  io.Writer
	errs io.Writer
	conf string // --conf
	args []string
}

func noArguments(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%s takes no arguments, and has %q", cmd.CommandPath(), args)}
	}
	return nil
}

func (c *command) root() *cobra.Command {
	root := &cobra.Command{
		Use: "marblespan", Short: "A query router for sharded, replicated databases",
		Long: "marblespan routes the requests of PostgreSQL clients to the servers of sharded, replicated databases.\n" +
			"Without a command it is the gateway. PROXY_CONFIG names the platform's configuration; --conf, or\n" +
			config.EnvOperators + ", the operators' own file.",
		SilenceUsage: true, SilenceErrors: true, RunE: c.gateway,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.PersistentFlags().StringVar(&c.conf, "conf", "", "the operators' file (default: $"+config.EnvOperators+")")
	root.AddCommand(
		&cobra.Command{Use: "gateway", Short: "Run the gateway, as without a command", Args: noArguments, RunE: c.gateway},
		&cobra.Command{Use: "check", Short: "Read both configurations and print what is in force", Args: noArguments, RunE: c.check},
		&cobra.Command{Use: "version", Short: "Print the version", Args: noArguments, RunE: c.version},
		c.vrrp(), c.members(), c.copies(), c.intents(), c.maintain(),
	)
	return root
}

// operators is the path of the operators' file; empty: there is none.
func (c *command) operators() string {
	if c.conf != "" {
		return c.conf
	}
	return c.env(config.EnvOperators)
}

func (c *command) load() (*config.Config, *config.Operators, error) {
	cfg, err := config.Load(c.env)
	ops, fault := config.LoadOperators(c.operators())
	return cfg, ops, errors.Join(err, fault) // both are read in any case, so that all faults are told at once
}

func (c *command) gateway(*cobra.Command, []string) error {
	if ops, err := config.LoadOperators(c.operators()); err == nil && needsStore(ops) {
		return become(c.args)
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	return gateway.Run(c.load, c.errs)
}

func (c *command) check(*cobra.Command, []string) error {
	cfg, ops, err := c.load()
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "# the platform's configuration\n")
	for _, line := range [][2]string{
		{"name", cfg.Name}, {"listen", cfg.Listen}, {"discovery", cfg.Discovery},
		{"limits.cores", fmt.Sprint(cfg.Cores)}, {"limits.memory_mb", fmt.Sprint(cfg.MemoryMB)},
		{"limits.sockets", fmt.Sprint(cfg.Sockets)}, {"known", fmt.Sprint(len(cfg.KnownServers.Entries), " servers")},
		{"settings.classes", strings.Join(cfg.InForce.ClassNames, " ")},
	} {
		fmt.Fprintf(c.out, "%s %s\n", line[0], lines.Quote(line[1]))
	}
	for _, w := range ops.FormerWords() {
		fmt.Fprintln(c.errs, "marblespan: warning:", w)
	}
	where := c.operators()
	if where == "" {
		fmt.Fprintf(c.out, "\n# no operators' file: all of it is off\n")
		return nil
	}
	fmt.Fprintf(c.out, "\n# the operators' file, %s\n", where)
	return ops.Print(c.out)
}

func (c *command) version(*cobra.Command, []string) error {
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " (" + s.Value + ")"
			}
		}
	}
	_, err := fmt.Fprintf(c.out, "marblespan %s%s\n", gateway.Version, revision)
	return err
}

func (c *command) vrrp() *cobra.Command {
	var socket string
	var raw bool
	group := &cobra.Command{
		Use: "vrrp", Short: "Floating addresses", Args: noArguments,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return usageError{errors.New("vrrp needs a command: status")}
		},
	}
	status := &cobra.Command{
		Use: "status", Short: "Ask a running gateway which addresses it holds", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return c.status(socket, raw) },
	}
	status.Flags().StringVar(&socket, "socket", "", "the gateway's control socket (default: as the operators' file says)")
	status.Flags().BoolVar(&raw, "json", false, "print the answer as JSON")
	group.AddCommand(status)
	return group
}

// ask asks a running gateway; without a socket, the one that the operators' file names.
func (c *command) ask(socket, question string, into any) error {
	if socket == "" {
		ops, err := config.LoadOperators(c.operators())
		if err != nil {
			return err
		}
		if socket = ops.Control; socket == "" {
			return usageError{errors.New("no control socket: name one with --socket, or a file that has one with --conf")}
		}
	}
	return control.Query(socket, question, into)
}

func (c *command) members() *cobra.Command {
	var socket string
	var raw, streams bool
	cmd := &cobra.Command{
		Use: "members", Short: "Ask a running gateway who of the gateways is there", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return c.listMembers(socket, raw, streams) },
	}
	cmd.Flags().StringVar(&socket, "socket", "", "the gateway's control socket (default: as the operators' file says)")
	cmd.Flags().BoolVar(&raw, "json", false, "print the answer as JSON")
	cmd.Flags().BoolVar(&streams, "streams", false, "try a stream to each of them and back, which datagrams do not show")
	return cmd
}

func (c *command) listMembers(socket string, raw, streams bool) error {
	var s gossip.Status
	question, stream := "members", ""
	if streams {
		question, stream = "members streams", "\tSTREAM"
	}
	if err := c.ask(socket, question, &s); err != nil {
		return err
	}
	if raw {
		return writeJSON(c.out, s)
	}
	if s.Excluded {
		fmt.Fprintf(c.out, "another process has the name %s; this one takes no part\n", s.Node)
	}
	if s.LocalHealth > 1 {
		fmt.Fprintf(c.out, "%s misses answers that others get, and waits %d times as long\n", s.Node, s.LocalHealth)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSTATE\tFOR\tSAYS\tLIFE\tAT\tHEARD\tROUND TRIP\tZONE\tWEIGHT\tVERSION\tSETTINGS\tFLAGS\tCUT"+stream)
	for _, m := range s.Members {
		name, heard, settings := m.Name, "-", "same"
		if m.Self {
			name += " (this one)"
		} else if m.HeardMS >= 0 {
			heard = millis(m.HeardMS).String()
		}
		if m.SettingsDiffer {
			settings = "differ"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s", name, m.State, millis(m.ForMS), dash(m.ReportedBy),
			time.UnixMicro(int64(m.Generation)).UTC().Format("2006-01-02T15:04:05.000"), m.Address, heard, trip(m.RTTMicros), dash(m.Zone), m.Weight,
			dash(m.Version), settings, dash(strings.Join(m.Flags, ",")), dash(strings.Join(m.BrokenPaths, ",")))
		switch {
		case m.StreamFault != "":
			fmt.Fprintf(w, "\t%s", m.StreamFault)
		case streams:
			fmt.Fprintf(w, "\t%s", trip(m.StreamMicros))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func trip(micros int64) string {
	if micros <= 0 {
		return "-"
	}
	return (time.Duration(micros) * time.Microsecond).String()
}

func (c *command) status(socket string, raw bool) error {
	var all []floatingip.Status
	if err := c.ask(socket, "vrrp status", &all); err != nil {
		return err
	}
	if raw {
		return writeJSON(c.out, all)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tVRID\tADDRESSES\tSTATE\tFOR\tPRIORITY\tREADY\tWRONG\tHOLDER\tTENURE\tHELD BACK")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%v\t%d of %d\t%s\t%s\t%s\t%d\t%v\n", s.Group, s.VRID, strings.Join(s.Addresses, ","),
			s.State, millis(s.ForMS), s.Priority, s.Settings, yes(s.Ready), dash(strings.Join(s.Wrong, ",")), dash(s.Holder),
			s.Tenure, millis(s.HeldMS))
	}
	return w.Flush()
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
