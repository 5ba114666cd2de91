//go:build !race

package vrrp

const statesDivisor = 1
