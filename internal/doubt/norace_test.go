//go:build !race

package doubt

const fewer = 1
