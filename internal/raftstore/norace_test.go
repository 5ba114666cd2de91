//go:build !race

package raftstore

const fewer = 1
