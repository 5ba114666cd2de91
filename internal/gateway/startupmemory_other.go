//go:build !linux

package gateway

// releaseStartupMemory does nothing on systems other than Linux.
func releaseStartupMemory() (dropped int) { return 0 }
