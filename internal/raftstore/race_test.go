//go:build race

package raftstore

// raceDivisor divides the number of runs: the race detector makes each many times slower, and the machine has one goroutine.
const raceDivisor = 8
