//go:build race

package main

// raceEnabled reports whether the race detector is on. Its memory comes on top of the gateway's, so the memory limit is not checked.
const raceEnabled = true
