//go:build race

package indoubt

// stateDivisor divides the number of explored states under the race detector, which finds nothing here because a single goroutine
// explores all states of a scenario.
const stateDivisor = 10
