//go:build race

package maintenance

// reduction divides the size of the searches under the race detector, which finds nothing here because each search runs in a
// single goroutine.
const reduction = 10
