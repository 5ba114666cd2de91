//go:build race

package testcluster

// raceEnabled reports that the race detector is on. It sees the test's own process only: tests of the gateways' processes skip.
const raceEnabled = true
