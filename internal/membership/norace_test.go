//go:build !race

package membership

const runDivisor = 1
