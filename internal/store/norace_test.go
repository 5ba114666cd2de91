//go:build !race

package store

const raced = false
