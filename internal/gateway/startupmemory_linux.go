package gateway

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

// releaseStartupMemory has the kernel unmap the program's own code and constants, which come back page by page as they are used: the
// command line, the readers of configuration and all else that only a start needs do not stay resident. It guards small
// gateways, whose memory limit counts them. It may harm the first requests by the few microseconds that each page takes to
// be mapped again. Only mappings that cannot have been written to are touched.
func releaseStartupMemory() {
	self, err := os.Executable()
	if err != nil {
		return
	}
	maps, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return
	}
	for _, line := range strings.Split(string(maps), "\n") {
		f := strings.Fields(line)
		if len(f) < 6 || f[5] != self || f[1] != "r-xp" && f[1] != "r--p" {
			continue
		}
		from, to, _ := strings.Cut(f[0], "-")
		start, err1 := strconv.ParseUint(from, 16, 64)
		end, err2 := strconv.ParseUint(to, 16, 64)
		if err1 == nil && err2 == nil && start < end {
			syscall.Syscall(syscall.SYS_MADVISE, uintptr(start), uintptr(end-start), syscall.MADV_DONTNEED)
		}
	}
}
