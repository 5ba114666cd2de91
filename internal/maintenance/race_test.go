//go:build race

package maintenance

// reduction is by how much the search is smaller under the race detector: nothing here runs at the same time.
const reduction = 10
