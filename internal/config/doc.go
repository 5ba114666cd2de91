// Package config reads, checks and defaults the gateway's configuration, and is the only place that does. It has two parts:
//
//   - the platform's, a JSON file that the environment names: Load and Parse make a Config of it;
//   - the operators' own file, in the manner of classic daemons: LoadOperators and ParseOperators make Operators of it. Package
//     lines reads its lines; formerWords has the words of earlier versions, which are still taken.
//
// internal/cli loads both at the start and on SIGHUP and hands them to the gateway, which may take over what RestartRequired does not
// name. What is loaded is not changed afterwards, so that goroutines may share it.
package config
