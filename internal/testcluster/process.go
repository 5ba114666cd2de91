package testcluster

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// startRequests returns the channel to the goroutine that starts all processes. This goroutine has an OS thread of its own. The kernel
// applies PR_SET_PDEATHSIG when the thread that started a child ends, so the goroutine's thread must live as long as this process.
var startRequests = sync.OnceValue(func() chan func() {
	todo := make(chan func())
	go func() {
		runtime.LockOSThread()
		for do := range todo {
			do()
		}
	}()
	return todo
})

// startTiedToParent starts a command that the kernel kills when this process ends, even if this process is killed.
func startTiedToParent(cmd *exec.Cmd) error {
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = &syscall.SysProcAttr{}
	}
	cmd.SysProcAttr.Pdeathsig = syscall.SIGKILL
	done := make(chan error)
	startRequests() <- func() { done <- cmd.Start() }
	return <-done
}

// process is a process that writes its log to standard error.
type process struct {
	cmd        *exec.Cmd
	ended      chan struct{}
	exitStatus string // valid once ended is closed
}

// launch starts a program and copies the program's log to the writer log. It calls the function line with each line of the log,
// and the function end with the exit status once the process has ended.
func launch(cmd *exec.Cmd, log io.Writer, line func(string), end func(how string)) (*process, error) {
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := startTiedToParent(cmd); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			fmt.Fprintln(log, lines.Text())
			line(lines.Text())
		}
		io.Copy(io.Discard, out) // a line that is longer than the buffer must not block the program
		cmd.Wait()
		p.exitStatus = cmd.ProcessState.String()
		end(p.exitStatus)
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// noFileLimit is the size limit of limitFiles that allows files of any size.
const noFileLimit uint64 = unix.RLIM_INFINITY

// limitFiles limits the size of the files that the process writes, in bytes; with 0 it cannot write to any file. A write beyond the
// limit fails like a write to a full disk, but with EFBIG. The limit needs no privileges. It does not apply to pipes and sockets,
// and so not to the process's log.
func (p *process) limitFiles(maxSize uint64) error {
	var now unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &now); err != nil {
		return err
	}
	now.Cur = min(maxSize, now.Max)
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &now, nil)
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill kills the process, even if it is stopped, and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// isStopped reports whether every thread of the process has stopped. Threads on other cores continue for a moment after SIGSTOP.
func (p *process) isStopped() bool {
	stats, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, name := range stats {
		raw, err := os.ReadFile(name)
		if _, state, _ := strings.Cut(string(raw), ") "); err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}
