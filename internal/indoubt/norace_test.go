//go:build !race

package indoubt

const fewer = 1
