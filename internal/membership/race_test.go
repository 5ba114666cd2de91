//go:build race

package membership

// runDivisor divides the number of runs: the race detector makes each many times slower, and the machine has one goroutine.
const runDivisor = 8
