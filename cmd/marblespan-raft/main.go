// Command marblespan-raft is marblespan with the state store linked in. Operators do not start it: the program marblespan
// replaces itself with marblespan-raft if the operators' file has a state-store section.
package main

import (
	"os"

	"marblespan/internal/cli"
	"marblespan/internal/raftgateway"
)

func main() {
	raftgateway.Register()
	os.Exit(cli.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}
