//go:build !race

package maintenance

const reduction = 1
