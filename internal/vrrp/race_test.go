//go:build race

package vrrp

// statesDivisor keeps the explorations short where every step costs many times the usual.
const statesDivisor = 10
