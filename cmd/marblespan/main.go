// Command marblespan is the gateway: it serves PostgreSQL clients and routes their requests to database servers.
package main

import (
	"os"

	"marblespan/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
