//go:build !linux

package gateway

// letGo does nothing here.
func letGo() {}
