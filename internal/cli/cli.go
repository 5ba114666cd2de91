// Package cli implements the command line of the programs marblespan and marblespan-raft. The program marblespan-raft is
// marblespan with the state store linked in. One command runs the gateway; the others query a running gateway over its control
// socket. Both programs call Main.
//
// Each command has a file. The type query has the code that the querying commands share. formerCommands lists the names that
// commands had in earlier versions. The package keeps no state between calls.
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
	exitFault = 1 // the configuration is invalid, or the command failed
	exitUsage = 2 // the command line is invalid
)

// usageError is the error of an invalid command line.
type usageError struct{ error }

// Main runs the command line and returns the exit code: 0, exitFault or exitUsage.
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
	if _, ok := errors.AsType[usageError](err); ok || strings.HasPrefix(err.Error(), "unknown command") { // cobra has no type for this error
		return exitUsage
	}
	return exitFault
}

// printError prints each line of an error with the program's name in front. Each fault of a configuration is one line.
func printError(w io.Writer, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintln(w, "marblespan:", line)
	}
}

// command holds the environment and the arguments of one call of the program.
type command struct {
	env  func(string) string
	out  io.Writer // standard output
	errs io.Writer // standard error
	conf string    // --conf
	args []string  // all arguments, for marblespan-raft
}

// noArguments is the argument check of commands that take no arguments. It replaces the check of cobra, whose errors have no
// type.
func noArguments(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%s takes no arguments, and has %q", cmd.CommandPath(), args)}
	}
	return nil
}

// oneArgument returns the argument check of commands that take one argument. The parameter what describes that argument.
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
			"Without a command it runs the gateway. PROXY_CONFIG is the path of the platform's configuration; --conf or\n" +
			config.EnvOperators + " is the path of the operators' file.",
		SilenceUsage: true, SilenceErrors: true, RunE: c.gateway,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.PersistentFlags().StringVar(&c.conf, "conf", "", "path of the operators' file (default: $"+config.EnvOperators+")")
	root.AddCommand(
		&cobra.Command{Use: "gateway", Short: "Run the gateway; this is the default command", Args: noArguments, RunE: c.gateway},
		&cobra.Command{Use: "check", Short: "Check both configurations and print their settings, including defaults", Args: noArguments, RunE: c.check},
		&cobra.Command{Use: "version", Short: "Print the version", Args: noArguments, RunE: c.version},
		c.vrrp(), c.members(), c.stateStore(), c.intents(), c.maintenance(),
		c.asFormer(c.stateStore()), c.asFormer(c.maintenance()),
	)
	return root
}

// operatorsPath returns the path of the operators' file, or "" if there is none.
func (c *command) operatorsPath() string {
	if c.conf != "" {
		return c.conf
	}
	return c.env(config.EnvOperators)
}

// load reads both configurations. The gateway calls it at its start and on SIGHUP.
func (c *command) load() (*config.Config, *config.Operators, error) {
	platform, platformErr := config.Load(c.env)
	operators, operatorsErr := config.LoadOperators(c.operatorsPath())
	return platform, operators, errors.Join(platformErr, operatorsErr) // the faults of both files, so that operators see all at once
}

// gateway runs the gateway until it is stopped. If the gateway needs the state store, marblespan-raft replaces this process.
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
