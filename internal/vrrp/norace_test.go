//go:build !race

package vrrp

const fewerStates = 1
