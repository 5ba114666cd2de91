//go:build !race

package membership

const fewer = 1
