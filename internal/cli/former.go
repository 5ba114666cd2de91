package cli

import (
	"strings"

	"github.com/spf13/cobra"
)

// formerCommands has the names that commands had in earlier versions, and that their subcommands had, by the present ones.
var formerCommands = map[string]struct {
	name        string
	subcommands map[string]string
}{
	"state-store": {"copies", map[string]string{"bootstrap": "found", "remove-store": "gone", "reset-shard": "anew"}},
	"maintenance": {"maintain", map[string]string{"cancel": "drop", "pause": "hold", "resume": "go"}},
}

// asFormer gives a command and its subcommands the names that they had in earlier versions. They work as they did, are left out
// of the help, and say the present name on standard error.
func (c *command) asFormer(group *cobra.Command) *cobra.Command {
	former := formerCommands[group.Name()]
	group.SetOut(c.errs) // cobra prints Deprecated here; answers go to c.out, and so does the help
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
