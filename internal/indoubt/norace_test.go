//go:build !race

package indoubt

const stateDivisor = 1
