package testcluster

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// binary is the path of the gateway's binary, which is built once for all tests. otherBinary is the same gateway with otherVersion and
// otherFormat.
var binary, otherBinary string

// The version of otherBinary, and the later format of records that it supports.
const (
	otherVersion = "99.1.0"
	otherFormat  = "3"
)

func TestMain(m *testing.M) {
	if os.Getenv(asClusterProcess) != "" { // this process will be killed, and could not remove binaries that it built
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "testcluster-binary")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "marblespan")
	otherBinary = filepath.Join(dir, "another", "marblespan")
	for _, program := range []string{"marblespan", "marblespan-raft"} {
		for _, build := range [][]string{{"-o", filepath.Join(dir, program)}, {"-o", filepath.Join(dir, "another", program), "-ldflags",
			"-X marblespan/internal/gateway.Version=" + otherVersion + " -X marblespan/internal/raftgateway.Format=" + otherFormat}} {
			args := append(append([]string{"build"}, build...), "../../cmd/"+program)
			if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
				fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
				os.Exit(1)
			}
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func options() Options {
	o := Defaults()
	o.Binary = binary
	return o
}

// With real processes under load and faults of every kind, no rule is violated and the cluster settles.
func TestRun(t *testing.T) {
	for _, c := range []struct{ name, script string }{
		{"calm", ""},
		{"processes", "at 300ms kill 1 for 500ms\nat 1s term 2 for 100ms\nat 1500ms stop 3 for 1s\nat 2s starve 1 60% for 500ms"},
		{"paths", "at 200ms cut 1 -> 2,3 for 800ms\nat 1s split 1 | 2,3 for 500ms\nat 1500ms loss all -> all 30% for 1s\n" +
			"at 1600ms delay all -> all 50ms..200ms for 600ms\nat 1700ms duplicate 1 <-> 2 2 for 500ms\nat 1800ms reorder 2 -> 3 for 500ms"},
		{"restarts after a failover, with endpoint lists from before it", "at 300ms promote r1 for 500ms\nat 1200ms kill 1 for 100ms\nat 1900ms kill 2 for 100ms\n" +
			"at 2600ms kill 3 for 100ms\nat 3300ms kill 1,2 for 100ms\nat 4s kill 3 for 100ms\nat 4700ms kill 1 for 100ms"},
		{"servers", "at 200ms lag r1 2s for 2s\nat 400ms stop 1 for 1s\nat 700ms sever 2 -> p for 600ms\nat 800ms sever 3 -> discovery for 1s\n" +
			"at 1s drain r2 for 1s\nat 1200ms sever 1 -> r1 for 1s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			faults, err := ParseScript(c.name, c.script)
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			load := DefaultLoad()
			load.QuoteReaders = 2
			out := Run(options(), load, faults, nil)
			if out.Err != nil {
				t.Error(out.Err)
			}
			for _, v := range out.Violations {
				t.Error(v)
			}
			t.Logf("%d events, %+v, settled after %v, all in %v", len(out.Events), out.Totals, out.SettleTime, time.Since(start))
		})
	}
}

// asClusterProcess is the environment variable that makes the test binary start a cluster and wait until it is killed. Its value is
// the path of the gateway's binary.
const asClusterProcess = "MARBLESPAN_TEST_RIG"

// If a process with a test cluster is killed by SIGKILL, all its gateway processes end too, even a stopped one.
func TestNoProcessOutlivesCluster(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, "-test.run", "^TestClusterToKill$")
	cmd.Env = append(os.Environ(), asClusterProcess+"="+binary)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	var pids [3]int
	if _, err := fmt.Fscanf(out, "pids %d %d %d\n", &pids[0], &pids[1], &pids[2]); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Kill()
	cmd.Wait()
	for _, pid := range pids {
		for deadline := time.Now().Add(settleTimeout); ; time.Sleep(time.Millisecond) {
			if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err != nil || strings.Contains(string(stat), ") Z ") {
				break // ended; a zombie is not yet reaped by its new parent
			}
			if time.Now().After(deadline) {
				t.Fatalf("process %d still runs", pid)
			}
		}
	}
}

func TestClusterToKill(t *testing.T) {
	program := os.Getenv(asClusterProcess)
	if program == "" {
		t.Skip("only for TestNoProcessOutlivesCluster")
	}
	binary = program
	f, err := New(options())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Inject(Fault{Verb: "stop", From: []int{2}}); err != nil {
		t.Fatal(err)
	}
	fmt.Print("pids")
	for _, n := range f.Nodes {
		fmt.Printf(" %d", n.currentProcess().cmd.Process.Pid)
	}
	fmt.Println()
	os.RemoveAll(f.Dir)
	select {}
}

// changeDisk empties, saves and restores a data directory.
func TestDisk(t *testing.T) {
	n := &Node{dir: t.TempDir()}
	file := filepath.Join(n.dir, "data", "sub", "x")
	write := func(text string) {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct{ do, want string }{{"save", "1"}, {"empty", ""}, {"old", "1"}, {"", "2"}, {"old", "1"}, {"empty", ""}} {
		if c.do == "" || c.do == "save" {
			write(c.want)
		}
		if c.do != "" {
			if err := n.changeDisk(c.do); err != nil {
				t.Fatal(err)
			}
		}
		got, _ := os.ReadFile(file)
		if string(got) != c.want {
			t.Errorf("%s: %q, want %q", c.do, got, c.want)
		}
	}
}

// On a full disk, files can be overwritten but cannot grow; on a read-only disk they can do neither. The limit also applies to the
// next process.
func TestFiles(t *testing.T) {
	n := &Node{dir: t.TempDir(), maxFileSize: noFileLimit}
	data := filepath.Join(n.dir, "data")
	if err := os.Mkdir(data, 0o755); err != nil {
		t.Fatal(err)
	}
	output := make(chan string, 10)
	start := func() (in io.Writer) {
		cmd := exec.Command("sh", "-c", `trap '' XFSZ; while read how; do
			case $how in grow) printf xx >> f;; same) printf xx 1<> f;; esac 2> /dev/null && echo done >&2 || echo failed >&2; done`)
		cmd.Dir = data
		in, err := cmd.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		if n.process, err = launch(cmd, io.Discard, func(line string) { output <- line }, func(string) {}); err != nil {
			t.Fatal(err)
		}
		n.process.limitFiles(n.maxFileSize)
		return in
	}
	in := start()
	for _, c := range []struct{ bound, do, want string }{
		{"", "grow", "done"}, {"full", "grow", "failed"}, {"full", "same", "done"}, {"read-only", "same", "failed"}, {"again", "same", "failed"},
		{"", "same", "done"}, {"", "grow", "done"},
	} {
		switch c.bound {
		case "":
			n.limitFiles(noFileLimit)
		case "full":
			n.limitFiles(n.largestFile())
		case "again":
			n.process.kill()
			in = start()
		default:
			n.limitFiles(0)
		}
		fmt.Fprintln(in, c.do)
		if got := <-output; got != c.want {
			t.Errorf("%s: %s: %s", c.bound, c.do, got)
		}
	}
	n.process.kill()
}

// Faults that cannot be injected are rejected before any is injected.
func TestValidateFault(t *testing.T) {
	f := &Cluster{Nodes: make([]*Node, 3), groups: []*serverGroup{{servers: []*server{{name: "p", primary: true}, {name: "r1"}}}}}
	for line, valid := range map[string]bool{
		"at 1s kill 3": true, "at 1s kill 4": false, "at 1s cut 1 -> 4": false, "at 1s lag r1 1s": true, "at 1s lag r2 1s": false,
		"at 1s drain p": false, "at 1s sever 1 -> p": true, "at 1s sever 1 -> discovery": true, "at 1s sever 1 -> x": false,
	} {
		x, err := ParseFault(line)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.validateFault(x); (err == nil) != valid {
			t.Errorf("%s: %v", line, err)
		}
	}
	if err := f.Play([]Fault{{Verb: "kill", From: []int{9}}}, nil); err == nil {
		t.Error("Play accepted an invalid fault")
	}
	if _, err := New(Options{Nodes: MaxNodes + 1, Replicas: 1}); err == nil {
		t.Error("New accepted more than MaxNodes gateways")
	}
}
