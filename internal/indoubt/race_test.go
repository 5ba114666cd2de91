//go:build race

package indoubt

// stateDivisor divides the number of states: one goroutine looks at all of them.
const stateDivisor = 10
