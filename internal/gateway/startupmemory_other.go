//go:build !linux

package gateway

// releaseStartupMemory does nothing here.
func releaseStartupMemory() {}
