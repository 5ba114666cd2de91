//go:build race

package indoubt

// fewer divides the number of states: one goroutine looks at all of them.
const fewer = 10
