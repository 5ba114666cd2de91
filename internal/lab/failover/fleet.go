// Package failover measures take-overs of a floating address between real gateway processes, with stand-ins around them: how
// long nobody holds it, how long two do, and what clients see of it, beside clients that a front spreads.
package failover

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"marblespan/internal/standin"
)

// secret signs the fleet's messages.
const secret = "the secret of this experiment"

// group is the number of the servers' group.
const group = 7

// settings are the platform's, for one class of bookings.
const settings = `{"balancers": %d, "ordinal": %d,
 "classes": [{"name": "booking", "aim_ms": 750, "give_up_ms": 1000, "effect": "single_shot", "points": 3, "late_worth": 0.5}],
 "family_info": {"answers_stamped": true, "checks": "await", "wait_ms": 50, "freshness": ["mutate"], "oldest_data_ms": [0],
  "write_marks": "brought"},
 "granularity_ms": 5, "membership_mode": "subscribe",
 "policy_limits": {"cancelling": true, "connect_timeout_ms": 250, "most_tries": 4, "probing": true, "keepalive_ms": 30000},
 "report": {"how": "probe", "fields": ["x0", "x1", "cpu_share"]},
 "rules": {"ask_within_ms": 10000, "cold_from": 0.26, "fall_ms": 3000, "grace_to_answer_ms": 20, "overload_factor": 4,
  "ramp_time_ms": 16000, "stop_sending_within_ms": 250}}`

// change is one change of state that a gateway logged.
type change struct {
	node   int
	at     time.Time
	active bool
	cause  string
}

// node is one gateway, as a process that may be started again and again.
type node struct {
	index    int
	udp      *net.UDPAddr
	floating string
	listen   string
	cmd      *exec.Cmd
	reading  sync.WaitGroup
}

// fleet is all that an experiment runs.
type fleet struct {
	binary  string
	dir     string
	primary *standin.Server
	disc    *standin.Discovery
	sw      *standin.Switch
	path    *standin.Path
	nodes   []*node

	mu      sync.Mutex
	changes []change
}

// newFleet starts gateways with these priorities.
func newFleet(o Options) (f *fleet, err error) {
	f = &fleet{binary: o.Binary}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "failover"); err != nil {
		return f, err
	}
	if f.primary, err = standin.NewServer("primary"); err != nil {
		return f, err
	}
	f.primary.SetHandle(func(q *standin.Query) {
		time.Sleep(o.Work)
		q.Serve([]byte("booked"))
	})
	target := standin.Target{UID: "p", Endpoint: f.primary.Addr(), Group: group, State: "ready", Weight: 1, Role: "primary"}
	if f.disc, err = standin.NewDiscovery(target); err != nil {
		return f, err
	}
	go func() { // nobody waits for the calls that are told
		for range f.disc.Asked {
		}
	}()
	if f.sw, err = standin.NewSwitch(secret); err != nil {
		return f, err
	}
	var ends []*net.UDPAddr
	for i := range o.Priorities {
		n := &node{index: i}
		ip := net.IPv4(127, 0, 0, byte(2+i))
		if n.udp, n.floating, n.listen, err = ports(ip); err != nil {
			return f, err
		}
		f.nodes, ends = append(f.nodes, n), append(ends, n.udp)
	}
	if f.path, err = standin.NewPath(ends...); err != nil {
		return f, err
	}
	for i, n := range f.nodes {
		if err = f.configure(n, o, target); err == nil {
			err = f.start(n)
		}
		if err != nil {
			return f, fmt.Errorf("gateway %d: %w", i, err)
		}
	}
	return f, nil
}

// ports finds free ports on an address.
func ports(ip net.IP) (u *net.UDPAddr, floating, listen string, err error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip})
	if err != nil {
		return nil, "", "", err
	}
	defer c.Close()
	var addrs [2]string
	for i := range addrs {
		l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip})
		if err != nil {
			return nil, "", "", err
		}
		defer l.Close()
		addrs[i] = l.Addr().String()
	}
	return c.LocalAddr().(*net.UDPAddr), addrs[0], addrs[1], nil
}

// configure writes a gateway's two files.
func (f *fleet) configure(n *node, o Options, target standin.Target) error {
	var b strings.Builder
	fmt.Fprintf(&b, "vrrp\n node %d\n bind %v\n announce %s\n key 1 \"%s\"\n", n.index+1, n.udp, f.sw.Announced(), secret)
	for j := range f.nodes {
		if j != n.index {
			fmt.Fprintf(&b, " peer %d %s\n", j+1, f.path.Peer(n.index, j))
		}
	}
	fmt.Fprintf(&b, "group counters\n vrid 51\n address 192.0.2.10\n listen %s\n priority %d\n interval %v\n damp 0s 0s 0s\n",
		n.floating, o.Priorities[n.index], o.Interval)
	if err := os.WriteFile(f.file(n, "conf"), []byte(b.String()), 0o600); err != nil {
		return err
	}
	raw, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", n.index), "listen": n.listen, "discovery": f.disc.Addr(),
		"seed": fmt.Sprintf("%x", o.Seed+uint64(n.index)), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"rev": 1, "all": true, "targets": []standin.Target{target}},
		"settings": json.RawMessage(fmt.Sprintf(settings, len(o.Priorities), n.index)),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(f.file(n, "json"), raw, 0o600)
}

func (f *fleet) file(n *node, kind string) string {
	return filepath.Join(f.dir, fmt.Sprintf("n%d.%s", n.index, kind))
}

// start runs a gateway's process and reads its log.
func (f *fleet) start(n *node) error {
	cmd := exec.Command(f.binary, "--conf", f.file(n, "conf"))
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+f.file(n, "json"))
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	n.reading.Add(1)
	go func() {
		defer n.reading.Done()
		f.read(n, out)
	}()
	return nil
}

// read takes the changes of state out of a log.
func (f *fleet) read(n *node, out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), `"message":"vrrp"`) {
			continue
		}
		var line struct {
			Time            time.Time
			From, To, Cause string
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.From != "active" && line.To != "active" {
			continue
		}
		f.mu.Lock()
		f.changes = append(f.changes, change{n.index, line.Time, line.To == "active", line.Cause})
		f.mu.Unlock()
	}
}

// since lists the changes after a time, and forgets the rest.
func (f *fleet) since(t time.Time) []change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []change
	for _, c := range f.changes {
		if !c.at.Before(t) {
			out = append(out, c)
		}
	}
	return out
}

// holder is the gateway that became active last and has not lost the address since; -1 if there is none, or several.
func (f *fleet) holder() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	active := map[int]bool{}
	for _, c := range f.changes {
		active[c.node] = c.active
	}
	found := -1
	for i, on := range active {
		if on && found >= 0 {
			return -1
		}
		if on {
			found = i
		}
	}
	return found
}

// gone notes that a gateway's process is no more: it can log nothing itself.
func (f *fleet) gone(n *node, at time.Time) {
	f.mu.Lock()
	f.changes = append(f.changes, change{n.index, at, false, "gone"})
	f.mu.Unlock()
}

// settles waits until one gateway is active and the switch leads to it.
func (f *fleet) settles(want int, by time.Duration) error {
	for end := time.Now().Add(by); ; time.Sleep(5 * time.Millisecond) {
		at, _ := f.sw.Holder()
		if f.holder() == want && at == f.nodes[want].floating {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("gateway %d does not hold the address after %v: %d does, the switch leads to %s", want, by, f.holder(), at)
		}
	}
}

func (f *fleet) signal(n *node, s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// wait waits for the end of a process that was told to end.
func (n *node) wait() {
	n.reading.Wait()
	n.cmd.Wait()
	n.cmd = nil
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.cmd != nil {
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.cmd.Process.Kill()
			n.wait()
		}
	}
	if f.path != nil {
		f.path.Close()
	}
	if f.sw != nil {
		f.sw.Close()
	}
	if f.disc != nil {
		f.disc.Close()
	}
	if f.primary != nil {
		f.primary.Close()
	}
	os.RemoveAll(f.dir)
}
