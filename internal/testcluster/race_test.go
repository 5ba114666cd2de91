//go:build race

package testcluster

// raceEnabled reports whether the race detector is on. Tests of gateway processes are skipped then, because the detector checks only
// the test's own process.
const raceEnabled = true
