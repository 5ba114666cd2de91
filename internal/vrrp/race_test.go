//go:build race

package vrrp

// statesDivisor divides maxStates, because the race detector makes every step many times slower.
const statesDivisor = 10
