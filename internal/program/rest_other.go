//go:build !linux

package program

// letGo does nothing here.
func letGo() {}
