// Command marblespan is the gateway: it serves PostgreSQL clients and routes their requests to database servers.
package main

import (
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"marblespan/internal/config"
	"marblespan/internal/program"
)

func main() {
	if len(os.Args) > 1 {
		fmt.Fprintln(os.Stderr, "marblespan: takes no arguments; PROXY_CONFIG names its configuration file")
		os.Exit(2)
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	load := func() (*config.Config, error) { return config.Load(os.Getenv) }
	if err := program.Run(load, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "marblespan:", err)
		os.Exit(1)
	}
}
