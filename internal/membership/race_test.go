//go:build race

package membership

// runDivisor divides the number of random walks, because the race detector makes each many times slower. It would find
// little, because a machine runs on a single goroutine.
const runDivisor = 8
