//go:build !race

package copies

const fewer = 1
