// Command simhost runs routers for the simulator. It reads the simulator's messages on standard input and writes the routers'
// actions to standard output.
package main

import (
	"fmt"
	"os"

	"marblespan/internal/simhost"
)

func main() {
	if len(os.Args) > 1 {
		fmt.Fprintln(os.Stderr, "simhost: takes no arguments; it reads the simulator's messages on standard input")
		os.Exit(2)
	}
	if err := simhost.Run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
