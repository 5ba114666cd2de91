//go:build !race

package raftstorage

const raced = false
