// Package config reads and checks the gateway's configuration and applies its defaults. No other package does this. The
// configuration has two parts:
//
//   - the platform's configuration, a JSON file whose path is in an environment variable. Load and Parse read it into a Config.
//   - the operators' file, which has one directive on each line, like the files of classic Unix daemons. LoadOperators and
//     ParseOperators read it into Operators. Package lines parses its lines. formerWords lists the directives of earlier versions,
//     which are still accepted.
//
// internal/cli loads both parts at the start and on SIGHUP and passes them to the gateway. A running gateway can apply all changes
// except those that RestartRequired lists. A loaded configuration is not modified afterwards, so goroutines may share it.
package config
