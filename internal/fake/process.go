package fake

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakMemoryKiB returns the largest resident memory that a process has had so far, in KiB; 0 if the process has ended, or where the kernel
// does not tell.
func PeakMemoryKiB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			size, _ := strconv.Atoi(fields[1]) // a size in KiB
			return size
		}
	}
	return 0
}
