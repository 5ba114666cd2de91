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

// starts hands commands to the one thread that starts processes. The kernel ends a child for its parent's death
// (PR_SET_PDEATHSIG) when the thread that started it ends, so that thread must last as long as this process.
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

// startTiedToParent starts a command that the kernel kills when this process ends, however it ends.
func startTiedToParent(cmd *exec.Cmd) error {
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = &syscall.SysProcAttr{}
	}
	cmd.SysProcAttr.Pdeathsig = syscall.SIGKILL
	done := make(chan error)
	startRequests() <- func() { done <- cmd.Start() }
	return <-done
}

// process is one process of a program whose standard error is its log.
type process struct {
	cmd        *exec.Cmd
	ended      chan struct{}
	exitStatus string // once ended
}

// launch starts a program. line is called with each line of its log, end once it is over.
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
		io.Copy(io.Discard, out) // a line beyond the bound must not block the program
		cmd.Wait()
		p.exitStatus = cmd.ProcessState.String()
		end(p.exitStatus)
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// noFileLimit lets files grow without a limit.
const noFileLimit uint64 = unix.RLIM_INFINITY

// limitFiles limits how large the process's files may grow, in bytes; 0: nothing can be written to any. A write beyond it
// fails as one to a full disk does, with another error (EFBIG), and takes no rights to bring about. Pipes and sockets, its log
// among them, are not concerned.
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

// kill kills the process, also a stopped one, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// isStopped reports whether every thread of the process has stopped: threads on other cores run on for a moment after the signal.
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
