package cli

import (
	"strings"

	"github.com/spf13/cobra"
)

// formerCommands has the words of earlier versions, of a command and of the commands within, by the new words.
var formerCommands = map[string]struct {
	word   string
	within map[string]string
}{
	"state-store": {"copies", map[string]string{"bootstrap": "found", "remove-store": "gone", "reset-shard": "anew"}},
	"maintenance": {"maintain", map[string]string{"cancel": "drop", "pause": "hold", "resume": "go"}},
}

// asFormer gives a command and those within it the words that they had in earlier versions. They work as they did, are left out
// of the help, and say the new words on standard error.
func (c *command) asFormer(group *cobra.Command) *cobra.Command {
	former := formerCommands[group.Name()]
	group.SetOut(c.errs) // cobra prints Deprecated here; answers go to c.out
	for _, cmd := range group.Commands() {
		cmd.Deprecated = "use: marblespan " + group.Name() + " " + cmd.Name()
		if word, changed := former.within[cmd.Name()]; changed {
			cmd.Use = strings.Replace(cmd.Use, cmd.Name(), word, 1)
		}
	}
	group.Deprecated = "use: marblespan " + group.Name()
	group.Use = former.word
	return group
}
