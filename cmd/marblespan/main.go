// Command marblespan runs the gateway, which accepts requests of PostgreSQL clients and routes them to database servers. Its
// subcommands check the configuration and query a running gateway.
package main

import (
	"os"

	"marblespan/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
