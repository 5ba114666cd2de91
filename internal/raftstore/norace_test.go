//go:build !race

package raftstore

const raceDivisor = 1
