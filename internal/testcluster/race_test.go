//go:build race

package testcluster

// raced tells that the race detector is on. It sees the test's process only: what the gateways do is shown without it.
const raced = true
