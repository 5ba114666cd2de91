//go:build race

package raftstore

// raceDivisor divides the number of runs, because the race detector makes each run many times slower. The code under test uses a
// single goroutine, so fewer runs are enough.
const raceDivisor = 8
