// Command marblespan-raft is marblespan with the store of copies in it. The gateway turns into it where the operators' file has a
// copies section; it is not called by hand.
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
