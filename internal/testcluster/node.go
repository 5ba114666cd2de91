package testcluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"marblespan/internal/fake"
)

// This file handles one gateway of a cluster: its files, its process, and faults of both.

// defaultMemoryMB is the memory limit of a gateway if the options name none.
const defaultMemoryMB = 192

// Node is one gateway, which keeps its identity across restarts of its process.
type Node struct {
	Number   int
	IP       net.IP
	Listen   string
	Floating string
	Binary   string // path of the binary for the gateway's next processes; empty for the cluster's Binary

	cluster         *Cluster
	dir             string
	discovery       *fake.Discovery
	discoveryRelay  *fake.Relay            // relay to discovery
	serverRelays    map[string]*fake.Relay // relay to each server, by the server's name
	discoveryReader sync.WaitGroup

	mu           sync.Mutex
	process      *process // the current process, or the last process; nil before the first process
	pauses       int      // number of faults that currently stop the process
	maxFileSize  uint64   // maximum size of the gateway's files, in bytes
	incarnations int
}

// newNode creates a gateway, without starting it, with its fake discovery service and its relays to the servers and to discovery.
func (c *Cluster) newNode(number int, ip net.IP) (*Node, error) {
	n := &Node{Number: number, IP: ip, cluster: c, dir: filepath.Join(c.Dir, fmt.Sprint("n", number)), serverRelays: map[string]*fake.Relay{}, maxFileSize: noFileLimit}
	n.Listen, n.Floating = fmt.Sprintf("%v:%d", ip, portClients), fmt.Sprintf("%v:%d", ip, portFloating)
	c.Nodes = append(c.Nodes, n)
	var targets []fake.Endpoint
	for _, s := range c.servers() {
		r, err := fake.NewRelay("127.0.0.1:0", s.Addr(), ip)
		if err != nil {
			return nil, err
		}
		r.OnData = func(chunk []byte) { n.recordForwarded(s.name, chunk) }
		n.serverRelays[s.name] = r
		targets = append(targets, s.target(r.Addr()))
	}
	var err error
	if n.discovery, err = fake.NewDiscovery(targets...); err != nil {
		return nil, err
	}
	n.discoveryReader.Add(1)
	go func() { // discards the requests until Cluster.Close closes the channel
		defer n.discoveryReader.Done()
		for range n.discovery.Requests {
		}
	}()
	n.discoveryRelay, err = fake.NewRelay("127.0.0.1:0", n.discovery.Addr(), nil)
	return n, err
}

// recordForwarded records the requests in data that the gateway sends to a server.
func (n *Node) recordForwarded(server string, chunk []byte) {
	for _, m := range requestID.FindAllSubmatch(chunk, -1) {
		n.cluster.History.Add(Event{Kind: RequestForwarded, Node: n.Number, ID: string(m[1]), Server: server})
	}
}

// configure writes a gateway's operators' file and its platform configuration.
func (n *Node) configure() error {
	cluster := n.cluster
	if err := os.MkdirAll(filepath.Join(n.dir, "data"), 0o755); err != nil {
		return err
	}
	conf := n.operatorsFile()
	if cluster.RewriteConfig != nil {
		conf = cluster.RewriteConfig(conf)
	}
	if err := os.WriteFile(n.Conf(), []byte(conf), 0o600); err != nil {
		return err
	}
	var known []fake.Endpoint
	for _, s := range cluster.servers() {
		known = append(known, s.target(n.serverRelays[s.name].Addr()))
	}
	memoryMB := cluster.MemoryMB
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	text := fmt.Sprintf(settings, len(cluster.Nodes), n.Number-1, cluster.SlowStart.Milliseconds())
	if cluster.RewriteSettings != nil {
		text = cluster.RewriteSettings(text)
	}
	raw, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", n.Number), "listen": n.Listen, "discovery": n.discoveryRelay.Addr(),
		"seed":     fmt.Sprintf("%x", cluster.Seed+uint64(n.Number)),
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": 1024},
		"known":    map[string]any{"rev": 1, "all": true, "targets": known},
		"settings": json.RawMessage(text),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(n.dir, "json"), raw, 0o600)
}

// Name is the gateway's name among the members.
func (n *Node) Name() string { return fmt.Sprint("g", n.Number) }

// Conf is the path of the gateway's operators' file.
func (n *Node) Conf() string { return filepath.Join(n.dir, "conf") }

// Socket is the path of the gateway's control socket.
func (n *Node) Socket() string { return filepath.Join(n.dir, "ctl") }

// Reconfigure changes the operators' file and makes the gateway reload it.
func (n *Node) Reconfigure(change func(string) string) error {
	raw, err := os.ReadFile(n.Conf())
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.Conf(), []byte(change(string(raw))), 0o600); err != nil {
		return err
	}
	return n.Signal(syscall.SIGHUP)
}

// operatorsFile returns the text of the gateway's operators' file.
func (n *Node) operatorsFile() string {
	cluster := n.cluster
	var b strings.Builder
	fmt.Fprintf(&b, "control %s\n", n.Socket())
	if cluster.MembershipPath != nil {
		fmt.Fprintf(&b, "members\n node %s\n bind %v:%d\n key 1 \"%s\"\n interval %v\n zone z%d\n", n.Name(), n.IP, portMembers, secret, cluster.MembershipInterval, n.Number%3)
		for _, other := range cluster.Nodes {
			if other.Number <= 3 {
				fmt.Fprintf(&b, " join %v:%d\n", other.IP, portMembers)
			}
			if other != n {
				fmt.Fprintf(&b, " via %v:%d %s\n", other.IP, portMembers, cluster.MembershipPath.PeerAddr(n.Number-1, other.Number-1))
			}
		}
	}
	if cluster.StateStore != nil {
		b.WriteString(cluster.StateStore.section(n))
	}
	if cluster.InDoubt != nil {
		b.WriteString(cluster.InDoubt.section())
	}
	if cluster.Maintenance != nil {
		b.WriteString(cluster.Maintenance.section())
	}
	if n.Number > 1 && len(cluster.Nodes) > maxVRRPPeers+1 {
		return b.String() // VRRP supports at most 16 peers, so in larger clusters only gateway 1 runs VRRP
	}
	priority := 201 - n.Number
	if cluster.Priorities != nil {
		priority = cluster.Priorities[n.Number-1]
	}
	fmt.Fprintf(&b, "vrrp\n node %d\n bind %v:%d\n announce %s\n key 1 \"%s\"\n", n.Number, n.IP, portVRRP, cluster.Switch.AnnouncementAddr(), secret)
	for _, other := range cluster.Nodes {
		if other != n && len(cluster.Nodes) <= maxVRRPPeers+1 {
			fmt.Fprintf(&b, " peer %d %s\n", other.Number, cluster.VRRPPath.PeerAddr(n.Number-1, other.Number-1))
		}
	}
	fmt.Fprintf(&b, "group counters\n vrid 51\n address 192.0.2.10\n listen %s\n priority %d\n interval %v\n damp 0s 0s 0s\n",
		n.Floating, priority, cluster.AdvertisementInterval)
	return b.String()
}

// Start starts the gateway's next process. The previous process must have ended.
func (n *Node) Start() error { return n.startUnlessReplaced(n.currentProcess()) }

// startUnlessReplaced starts a new process if the process last is still the gateway's process. The repair of another fault that
// ended the same process may already have replaced that process.
func (n *Node) startUnlessReplaced(last *process) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != last {
		return nil
	}
	n.incarnations++
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	binary := n.cluster.Binary
	if n.Binary != "" {
		binary = n.Binary
	}
	cmd := exec.Command(binary, "--conf", n.Conf())
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+filepath.Join(n.dir, "json"))
	incarnation := n.incarnations
	n.cluster.History.Add(Event{Kind: ProcessChanged, Node: n.Number, What: ProcessStarted, Text: fmt.Sprint("life ", incarnation)})
	n.process, err = launch(cmd, log, n.recordLogLine, func(how string) {
		log.Close()
		n.cluster.History.Add(Event{Kind: ProcessChanged, Node: n.Number, What: ProcessEnded, Text: how})
	})
	if err != nil {
		log.Close()
		return fmt.Errorf("gateway %d: %w", n.Number, err)
	}
	n.pauses = 0
	n.process.limitFiles(n.maxFileSize)
	go n.awaitServing(n.process)
	return nil
}

// recordLogLine records the state change that a line of the gateway's log reports. It ignores other lines.
func (n *Node) recordLogLine(text string) {
	if !strings.Contains(text, `"message":"vrrp"`) && !strings.Contains(text, `"message":"member`) && !strings.Contains(text, `"message":"copies"`) &&
		!strings.Contains(text, `"message":"maintenance state changed"`) {
		return
	}
	var line struct {
		Time                                             time.Time
		Message, From, To, Cause, Member, By, What, Node string
		Machine                                          string
		Group                                            any // the name of a floating address, or the number of a shard
	}
	if json.Unmarshal([]byte(text), &line) != nil {
		return
	}
	e := Event{At: n.cluster.History.Timestamp(line.Time), Kind: StateReported, Node: n.Number, Text: line.To}
	switch line.Message {
	case "vrrp":
		e.What, e.Value = fmt.Sprint(subjectVRRP, line.Group), line.Cause
	case "member":
		e.What, e.Value = subjectMember+line.Member, line.By
	case "membership":
		e.What, e.Text, e.Value = subjectItself, line.What, line.By
	case "maintenance state changed":
		e.What, e.Value = subjectMaintenance+line.Machine, line.From
	case "copies":
		e.What, e.Text, e.Value = subjectStateStore+line.What, line.Node, line.Cause
		if line.Group != nil {
			e.Server = fmt.Sprint(line.Group)
		}
	default:
		return
	}
	n.cluster.History.Add(e)
}

// awaitServing polls a process until the process answers for the first time, and records that answer.
func (n *Node) awaitServing(p *process) {
	for !p.hasEnded() {
		if fake.Healthy(n.Listen, time.Second) {
			n.cluster.History.Add(Event{Kind: ProcessChanged, Node: n.Number, What: ProcessReady})
			return
		}
		select {
		case <-p.ended:
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Signal sends a signal to the current process.
func (n *Node) Signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return errors.New("the gateway was never started")
	}
	return n.process.signal(s)
}

// currentProcess returns the running process, or the last process if none is running.
func (n *Node) currentProcess() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// WaitForExit waits until the current process has ended.
func (n *Node) WaitForExit() { <-n.currentProcess().ended }

// setPaused stops a process of a gateway, or continues it unless another fault still stops it.
func (n *Node) setPaused(p *process, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != p {
		return // a newer process has replaced p
	}
	if on {
		n.pauses++
		p.signal(syscall.SIGSTOP)
	} else if n.pauses--; n.pauses == 0 {
		p.signal(syscall.SIGCONT)
	}
}

// starvePeriod is the length of one stop and the following run together. It is well below the intervals of the protocols between
// gateways, so that a starved process is slow but does not look dead.
const starvePeriod = 20 * time.Millisecond

// starve stops a process for a share of the time, until quit is closed or the process ends.
func (n *Node) starve(p *process, share float64, quit <-chan struct{}) {
	off := time.Duration(share * float64(starvePeriod))
	for {
		n.setPaused(p, true)
		time.Sleep(off)
		n.setPaused(p, false)
		select {
		case <-quit:
			return
		case <-p.ended:
			return
		case <-time.After(starvePeriod - off):
		}
	}
}

// changeDisk empties, saves or restores the data directory. The parameter what is the name of the operation in diskOperations.
func (n *Node) changeDisk(what string) error {
	data, saved := filepath.Join(n.dir, "data"), filepath.Join(n.dir, "saved")
	replace := func(at, with string) error {
		if err := os.RemoveAll(at); err != nil {
			return err
		}
		if with == "" {
			return os.MkdirAll(at, 0o755)
		}
		return os.CopyFS(at, os.DirFS(with))
	}
	switch what {
	case "save":
		return replace(saved, data)
	case "old":
		return replace(data, saved)
	}
	return replace(data, "")
}

// largestFile returns the size of the largest file in the data directory, in bytes.
func (n *Node) largestFile() (size uint64) {
	filepath.WalkDir(filepath.Join(n.dir, "data"), func(_ string, d fs.DirEntry, err error) error {
		if err == nil && d.Type().IsRegular() {
			if info, err := d.Info(); err == nil {
				size = max(size, uint64(info.Size()))
			}
		}
		return nil
	})
	return size
}

// limitFiles limits the size of the files that this gateway's current and later processes write, in bytes.
func (n *Node) limitFiles(maxSize uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.maxFileSize = maxSize; n.process != nil {
		n.process.limitFiles(maxSize)
	}
}

// command returns a command of the gateway's binary that uses the control socket of this gateway.
func (n *Node) command(args ...string) *exec.Cmd {
	return exec.Command(n.cluster.Binary, append(args, "--socket", n.Socket())...)
}

// query runs a command and decodes the JSON that it prints.
func (n *Node) query(into any, args ...string) error {
	out, err := n.command(args...).Output()
	if err != nil {
		return err
	}
	return json.Unmarshal(out, into)
}

// run runs a command. Its error contains the command's output.
func (n *Node) run(args ...string) error {
	if out, err := n.command(args...).CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}
