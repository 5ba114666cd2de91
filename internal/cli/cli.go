// Package cli is the command line of marblespan, and of marblespan-raft, which has the state store too: the command for the gateway
// itself, and those that ask a running one over its control socket. Main is what both programs call.
//
// Each command has a file; query is what those that ask have in common; formerCommands has the words of earlier versions. The
// package keeps no state between calls.
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
	"marblespan/internal/gateway"
)

// The exit codes.
const (
	exitFault = 1 // a configuration is at fault, or the command failed
	exitUsage = 2 // the command line is
)

// usageError is a command line that cannot be understood.
type usageError struct{ error }

// Main runs the command line and returns its exit code: 0, exitFault or exitUsage.
func Main(args []string, env func(string) string, out, errs io.Writer) int {
	c := command{env: env, out: out, errs: errs, args: args}
	root := c.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return 0
	}
	printError(errs, err)
	if _, ok := errors.AsType[usageError](err); ok || strings.HasPrefix(err.Error(), "unknown command") { // cobra's has no type
		return exitUsage
	}
	return exitFault
}

// printError prints an error, each fault in a line of its own.
func printError(w io.Writer, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintln(w, "marblespan:", line)
	}
}

// command is one call of the program.
type command struct {
	env  func(string) string
	out  io.Writer // standard output
	errs io.Writer // standard error
	conf string    // --conf
	args []string
}

// noArguments and oneArgument say what arguments a command takes, in the words of this package's errors.
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

// operatorsPath is the path of the operators' file; empty: there is none.
func (c *command) operatorsPath() string {
	if c.conf != "" {
		return c.conf
	}
	return c.env(config.EnvOperators)
}

// load reads both configurations. The gateway calls it again on SIGHUP.
func (c *command) load() (*config.Config, *config.Operators, error) {
	platform, platformErr := config.Load(c.env)
	operators, operatorsErr := config.LoadOperators(c.operatorsPath())
	return platform, operators, errors.Join(platformErr, operatorsErr) // both are read in any case, so that all faults are told at once
}

// gateway runs the gateway until it is told to stop.
func (c *command) gateway(*cobra.Command, []string) error {
	if operators, err := config.LoadOperators(c.operatorsPath()); err == nil && needsRaftProgram(operators) {
		return execRaftProgram(c.args)
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	return gateway.Run(c.load, c.errs)
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
