//go:build !race

package maintenance

const fewer = 1
