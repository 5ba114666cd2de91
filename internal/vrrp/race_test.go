//go:build race

package vrrp

// fewerStates keeps the explorations short where every step costs many times the usual.
const fewerStates = 10
