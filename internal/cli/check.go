package cli

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"marblespan/internal/config"
	"marblespan/internal/config/lines"
)

// check prints the settings of both configurations, including defaults, and warns of former words in the operators' file.
func (c *command) check(*cobra.Command, []string) error {
	platform, operators, err := c.load()
	if err != nil {
		return err
	}
	for _, w := range operators.FormerWords() {
		fmt.Fprintln(c.errs, "marblespan: warning:", w)
	}
	c.printPlatform(platform)
	path := c.operatorsPath()
	if path == "" {
		fmt.Fprintf(c.out, "\n# no operators' file: all of its features are off\n")
		return nil
	}
	fmt.Fprintf(c.out, "\n# the operators' file, %s\n", path)
	return operators.Print(c.out)
}

func (c *command) printPlatform(platform *config.Config) {
	fmt.Fprintf(c.out, "# the platform's configuration\n")
	for _, line := range []struct{ key, value string }{
		{"name", platform.Name}, {"listen", platform.Listen}, {"discovery", platform.Discovery},
		{"limits.cores", fmt.Sprint(platform.Cores)}, {"limits.memory_mb", fmt.Sprint(platform.MemoryMB)},
		{"limits.sockets", fmt.Sprint(platform.Sockets)}, {"known", fmt.Sprint(len(platform.KnownServers.Entries), " servers")},
		{"settings.classes", strings.Join(platform.InForce.ClassNames, " ")},
	} {
		fmt.Fprintf(c.out, "%s %s\n", line.key, lines.Quote(line.value))
	}
}
