package gateway

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

// releaseStartupMemory makes the kernel drop the resident pages of the program's own code and constants. The kernel maps a page
// again when it is next used. Code that only a start needs, such as the command line and the configuration parsers, is not used
// again and so does not stay resident. This helps small gateways, whose memory limit includes these pages. The cost is a few
// microseconds for each page that is mapped again, during the first requests. Only read-only mappings are dropped, because they
// cannot hold modified data.
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
