// Package cli is the command line of marblespan: one command for the gateway and a few that look at it from outside.
package cli

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"marblespan/internal/config"
	"marblespan/internal/config/lines"
	"marblespan/internal/gateway"
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
		printError(errs, err)
		return exitUsage
	}
	printError(errs, err)
	return exitFault
}

// printError prints an error, each fault in a line of its own.
func printError(w io.Writer, err error) {
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

func oneArgument(what string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{fmt.Errorf("%s takes %s", cmd.CommandPath(), what)}
		}
		return nil
	}
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
		c.vrrp(), c.members(), c.stateStore(), c.intents(), c.maintenance(),
		c.asFormer(c.stateStore()), c.asFormer(c.maintenance()),
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
	if ops, err := config.LoadOperators(c.operators()); err == nil && needsRaftProgram(ops) {
		return execRaftProgram(c.args)
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
