package cli

import (
	"strings"

	"github.com/spf13/cobra"
)

// formerCommands maps the present names of commands to the commands' names in earlier versions. The field subcommands does the
// same for the subcommands whose names have changed.
var formerCommands = map[string]struct {
	name        string
	subcommands map[string]string
}{
	"state-store": {"copies", map[string]string{"bootstrap": "found", "remove-store": "gone", "reset-shard": "anew"}},
	"maintenance": {"maintain", map[string]string{"cancel": "drop", "pause": "hold", "resume": "go"}},
}

// asFormer changes the names of a command and its subcommands to their names in earlier versions. Under the former names, the
// commands work as under the present names. They print a warning with the present name on standard error, and the help does not
// list them.
func (c *command) asFormer(group *cobra.Command) *cobra.Command {
	former := formerCommands[group.Name()]
	group.SetOut(c.errs) // the writer to which cobra prints Deprecated; the help and the answers go to c.out
	help := group.HelpFunc()
	group.SetHelpFunc(func(cmd *cobra.Command, args []string) {
		cmd.SetOut(c.out)
		help(cmd, args)
	})
	for _, cmd := range group.Commands() {
		cmd.Deprecated = "use: marblespan " + group.Name() + " " + cmd.Name()
		if name, changed := former.subcommands[cmd.Name()]; changed {
			cmd.Use = strings.Replace(cmd.Use, cmd.Name(), name, 1)
		}
	}
	group.Deprecated = "use: marblespan " + group.Name()
	group.Use = former.name
	return group
}
