package gateway

import (
	"bufio"
	"bytes"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// releaseStartupMemory makes the kernel drop the resident pages of the program's own code and constants. The kernel maps a page
// again when it is next used. Code that only a start needs, such as the command line and the configuration parsers, is not used
// again and so does not stay resident. This helps small gateways, whose memory limit includes these pages. The cost is a few
// microseconds for each page that is mapped again, during the first requests. It returns the number of bytes of the mappings that
// were dropped; where the kernel does not list the mappings, nothing is dropped.
func releaseStartupMemory() (dropped int) {
	self, err := os.Executable()
	if err != nil {
		return 0
	}
	smaps, err := os.ReadFile("/proc/self/smaps")
	if err != nil {
		return 0
	}
	for _, m := range parseMappings(smaps) {
		if !m.isCopyOf(self) {
			continue
		}
		_, _, errno := syscall.Syscall(syscall.SYS_MADVISE, m.start, m.end-m.start, syscall.MADV_DONTNEED)
		if errno == 0 {
			dropped += int(m.end - m.start)
		}
	}
	return dropped
}

// mapping is one entry of /proc/self/smaps.
type mapping struct {
	start, end   uintptr
	permissions  string
	path         string // the mapped file; "" for none
	hasAnonymous bool   // the entry tells the number of modified pages
	anonymousKiB int    // pages that differ from the file, because they were written while the mapping was writable
}

// isCopyOf reports whether the whole mapping can be read again from a file. A mapping that is read-only now is not enough: the
// dynamic linker makes mappings read-only after it has written the addresses of C functions to them.
func (m mapping) isCopyOf(file string) bool {
	return m.path == file && (m.permissions == "r-xp" || m.permissions == "r--p") && m.hasAnonymous && m.anonymousKiB == 0
}

// parseMappings parses the content of /proc/self/smaps; see proc(5) for the format. Entries that cannot be parsed are omitted.
func parseMappings(smaps []byte) (all []mapping) {
	lines := bufio.NewScanner(bytes.NewReader(smaps))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) >= 5 && strings.Contains(fields[0], "-"):
			all = append(all, parseMappingHeader(fields))
		case len(fields) == 3 && fields[0] == "Anonymous:" && len(all) > 0:
			kiB, err := strconv.Atoi(fields[1])
			m := &all[len(all)-1]
			m.hasAnonymous, m.anonymousKiB = err == nil, kiB
		}
	}
	return all
}

// parseMappingHeader parses the fields of the first line of an entry. If the addresses cannot be parsed, the mapping has no path, so
// that it counts as a copy of no file.
func parseMappingHeader(fields []string) mapping {
	from, to, _ := strings.Cut(fields[0], "-")
	start, err1 := strconv.ParseUint(from, 16, strconv.IntSize)
	end, err2 := strconv.ParseUint(to, 16, strconv.IntSize)
	if err1 != nil || err2 != nil || end <= start || len(fields) < 6 {
		return mapping{}
	}
	return mapping{start: uintptr(start), end: uintptr(end), permissions: fields[1], path: fields[5]}
}
