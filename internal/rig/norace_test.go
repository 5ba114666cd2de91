//go:build !race

package rig

const raced = false
