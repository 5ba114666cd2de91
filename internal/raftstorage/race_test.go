//go:build race

package raftstorage

// raceDetector reports whether the tests run with the race detector. The race detector enables pointer checks that end the process when
// bbolt computes a pointer from a damaged length, even before bbolt reads from it.
const raceDetector = true
