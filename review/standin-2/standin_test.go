//go:build review

// Stand-ins of the second review: database servers, discovery and clients after the protocol page, and the runs that use them.
// This is a program: review/build-2.sh builds it, and a case's run.sh starts it as
//
//	bin/review-standin-2 CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package standin2

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// ---- record

type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) say(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, a...)...)
}

func nowMS() int64 { return time.Now().UnixMilli() }

// ---- wire

func frame(kind byte, body ...byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

func readFrame(r io.Reader) (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > 1<<20 {
		return 0, nil, errors.New("bad length")
	}
	body = make([]byte, n-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

func ready() []byte { return frame('Z', 'I') }

func status(name, value string) []byte { return frame('S', []byte(name+"\x00"+value+"\x00")...) }

func errorMessage(severity, code string) []byte {
	return frame('E', []byte("S"+severity+"\x00V"+severity+"\x00C"+code+"\x00Mrefused\x00\x00")...)
}

func row(value []byte, tag string) []byte {
	desc := append([]byte{0, 1}, "content\x00"...)
	desc = append(append(desc, make([]byte, 16)...), 0, 1)
	out := frame('T', desc...)
	data := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	out = append(out, frame('D', append(data, value...)...)...)
	return append(out, frame('C', []byte(tag+"\x00")...)...)
}

func startupMessage() []byte {
	b := append([]byte{0, 3, 0, 0}, "user\x00backend\x00database\x00store\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(4+len(b))), b...)
}

// ---- database server

// server is a database server. The functions are called on the connections' goroutines.
type server struct {
	name     string
	listener net.Listener
	rec      *record

	role      atomic.Value         // "primary" or "replica"
	position  func() int64         // the position, Unix milliseconds
	handshake func() time.Duration // delay of the start-up on a new connection
	work      func(sql string) time.Duration
	closes    bool // closes the connection after each request, as the protocol page allows
	turnsAway func() bool

	checksAfter bool // turns a read away that needs a later position, as far as its statement tells
	onRequest   func(s *server, sql string, at time.Time)
	onAnswered  func(s *server, sql string)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newServer(rec *record, name, role string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	s := &server{name: name, listener: l, rec: rec, conns: map[net.Conn]bool{}}
	s.role.Store(role)
	s.position = nowMS
	s.handshake = func() time.Duration { return 0 }
	s.work = func(string) time.Duration { return 20 * time.Millisecond }
	s.turnsAway = func() bool { return false }
	s.onRequest = func(*server, string, time.Time) {}
	s.onAnswered = func(*server, string) {}
	return s
}

func (s *server) serve() {
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go func() {
				s.talk(c)
				c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			}()
		}
	}()
}

func (s *server) addr() string { return s.listener.Addr().String() }

func (s *server) parameters() []byte {
	return append(status("role", s.role.Load().(string)), status("applied_ms", fmt.Sprint(s.position()))...)
}

func (s *server) talk(c net.Conn) {
	r := bufio.NewReader(c)
	size := make([]byte, 4)
	if _, err := io.ReadFull(r, size); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(size))-4); err != nil {
		return
	}
	time.Sleep(s.handshake())
	c.Write(append(frame('R', 0, 0, 0, 0), append(s.parameters(), ready()...)...))
	for {
		kind, body, err := readFrame(r)
		if err != nil || kind != 'Q' {
			return
		}
		at := time.Now()
		sql := strings.TrimRight(string(body), "\x00")
		primary := s.role.Load() == "primary"
		switch {
		case sql == "":
			c.Write(append(frame('I'), append(s.parameters(), ready()...)...))
			continue
		case sql == "SHOW load":
			ms, x1 := s.position(), 0
			if primary {
				x1 = 1
			}
			c.Write(append(row(fmt.Appendf(nil, "x0=%d.%03d,x1=%d,cpu_share=0.2", ms/1000, ms%1000, x1), "SHOW"), append(s.parameters(), ready()...)...))
			continue
		case sql == "SELECT 1":
			c.Write(append(row([]byte("1"), "SELECT 1"), append(s.parameters(), ready()...)...))
			continue
		}
		after, _ := strconv.ParseInt(field(sql, "after"), 10, 64)
		for wait := 0; s.checksAfter && after > s.position() && wait < 50; wait += 5 {
			time.Sleep(5 * time.Millisecond)
		}
		if s.checksAfter && after > s.position() {
			c.Write(append(errorMessage("ERROR", "72000"), append(s.parameters(), ready()...)...))
			continue
		}
		runs.Store(field(sql, "id"), fmt.Sprintf("%s at %.3f", s.name, at.Sub(s.rec.start).Seconds()))
		s.onRequest(s, sql, at)
		write := strings.Contains(sql, "INSERT INTO")
		switch {
		case s.turnsAway():
			c.Write(append(errorMessage("ERROR", "53300"), append(s.parameters(), ready()...)...))
			continue
		case write && !primary:
			c.Write(append(errorMessage("ERROR", "25006"), append(s.parameters(), ready()...)...))
			continue
		}
		time.Sleep(s.work(sql))
		tag := "SELECT 1"
		if write {
			tag = "INSERT 0 1"
		}
		if _, err := c.Write(append(row([]byte("value of "+field(sql, "id")), tag), append(s.parameters(), ready()...)...)); err == nil {
			s.onAnswered(s, sql)
		}
		if s.closes {
			return
		}
	}
}

// field returns a value of a statement's comment.
func field(sql, name string) string {
	m := regexp.MustCompile(`[ ,*]` + name + `=([^, ]*)`).FindStringSubmatch(sql)
	if m == nil {
		return ""
	}
	return m[1]
}

// ---- discovery

type target struct {
	UID    string  `json:"uid"`
	Addr   string  `json:"endpoint"`
	Zone   string  `json:"az"`
	Model  string  `json:"model"`
	Group  int     `json:"pod_group"`
	State  string  `json:"state"`
	Weight float64 `json:"capacity_hint"`
	BootMS int64   `json:"boot_ms"`
	Role   string  `json:"role,omitempty"`
}

func (s *server) target(group int, state string) target {
	return target{UID: s.name, Addr: s.addr(), Zone: "here", Model: "any", Group: group, State: state, Weight: 1, Role: s.role.Load().(string)}
}

type discovery struct {
	listener net.Listener
	rec      *record
	delay    atomic.Int64 // how long a call waits before its answer, as time.Duration

	mu      sync.Mutex
	rev     int
	targets []target
	watches map[net.Conn]bool
}

func newDiscovery(rec *record, targets ...target) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	d := &discovery{listener: l, rec: rec, rev: 1, targets: targets, watches: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.talk(c)
		}
	}()
	return d
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

func (d *discovery) list(all bool, targets []target) string {
	b, _ := json.Marshal(map[string]any{"rev": d.rev, "all": all, "targets": targets})
	return string(b) + "\n"
}

// known is the complete list as it is now.
func (d *discovery) known() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return json.RawMessage(d.list(true, d.targets))
}

// change replaces entries and tells every watch.
func (d *discovery) change(changed ...target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, t := range changed {
		for i := range d.targets {
			if d.targets[i].UID == t.UID {
				d.targets[i] = t
			}
		}
		d.rec.say("discovery: rev %d: %s is %s, watches: %d", d.rev, t.UID, t.State, len(d.watches))
	}
	line := d.list(false, changed)
	for c := range d.watches {
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(line), line)
	}
}

func (d *discovery) talk(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	first, err := r.ReadString('\n')
	for line := first; err == nil && strings.TrimSpace(line) != ""; {
		line, err = r.ReadString('\n')
	}
	if err != nil {
		return
	}
	d.rec.say("discovery: called: %s", strings.TrimSpace(first))
	time.Sleep(time.Duration(d.delay.Load()))
	d.mu.Lock()
	list := d.list(true, d.targets)
	if !strings.Contains(first, "watch=1") {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		d.mu.Unlock()
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
	d.watches[c] = true
	d.mu.Unlock()
	d.rec.say("discovery: a watch has its list, rev %d", d.rev)
	over := make(chan bool)
	go func() { io.Copy(io.Discard, r); close(over) }()
	for tick := time.NewTicker(2 * time.Second); ; {
		select {
		case <-tick.C:
			d.mu.Lock()
			fmt.Fprintf(c, "1\r\n\n\r\n")
			d.mu.Unlock()
			continue
		case <-over:
		}
		tick.Stop()
		break
	}
	d.mu.Lock()
	delete(d.watches, c)
	d.mu.Unlock()
}

// runs holds by the id of a request the server that got it last, and when.
var runs sync.Map

// asked records a request, its answer and the server that got it.
func (r *record) asked(id, class, at string, a result) {
	got, ok := runs.Load(id)
	if !ok {
		got = "no server"
	}
	r.say("%s %s at %s: sent at %.3f, %s %s after %d ms; got by %v", class, id, at, a.sent.Sub(r.start).Seconds(), a.kind, a.code, a.took.Milliseconds(), got)
}

// ---- client

// result is how a request ended for its client.
type result struct {
	kind  string // "served", "refused", "failed", "none" (the connection ended), "silent" (no answer in time)
	code  string
	value string
	sent  time.Time // when its last byte was written
	took  time.Duration
}

type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func connect(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{c, bufio.NewReader(c)}
	if _, err := c.Write(startupMessage()); err != nil {
		c.Close()
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	for {
		kind, body, err := readFrame(cl.r)
		if err == nil && kind == 'E' {
			err = errors.New("refused at the start-up: " + errorField(body, 'C'))
		}
		if err != nil {
			c.Close()
			return nil, err
		}
		if kind == 'Z' {
			return cl, nil
		}
	}
}

func errorField(body []byte, code byte) string {
	for part := range strings.SplitSeq(string(body), "\x00") {
		if part != "" && part[0] == code {
			return part[1:]
		}
	}
	return ""
}

// query sends one statement and waits for the end of its answer, at most until patience has passed.
func (c *client) query(sql string, patience time.Duration) (out result) {
	out.sent = time.Now()
	if _, err := c.conn.Write(frame('Q', []byte(sql+"\x00")...)); err != nil {
		out.kind = "none"
		return out
	}
	out.sent = time.Now()
	defer func() { out.took = time.Since(out.sent) }()
	c.conn.SetReadDeadline(out.sent.Add(patience))
	out.kind = "none"
	for {
		kind, body, err := readFrame(c.r)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			out.kind = "silent"
			return out
		case err != nil:
			if out.kind == "served" {
				out.kind = "none"
			}
			return out
		case kind == 'E':
			out.code = errorField(body, 'C')
			out.kind = "failed"
			if out.code == "53300" || out.code == "57P03" {
				out.kind = "refused"
			}
		case kind == 'I':
			out.kind = "empty"
		case kind == 'D' && len(body) >= 6:
			out.kind, out.value = "served", string(body[6:])
		case kind == 'Z':
			return out
		}
	}
}

func (c *client) close() { c.conn.Close() }

func selectSQL(id, class, key string, d, group int, extra string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d%s */ SELECT content FROM kv WHERE name = '%s'", id, class, d, group, extra, key)
}

func insertSQL(id, class, key string, d, group int, value, extra string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d%s */ INSERT INTO kv (name, content) VALUES ('%s', '\\x%x') RETURNING content", id, class, d, group, extra, key, value)
}

// ---- the gateway's process

type gateway struct {
	rec    *record
	dir    string
	name   string
	listen string
	cmd    *exec.Cmd
	done   chan struct{}
	env    []string
}

// sample reads deploy/sample.json and applies a change to it.
func sample(change func(map[string]any)) map[string]any {
	raw, err := os.ReadFile("deploy/sample.json")
	if err != nil {
		cannotRun("%v", err)
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		cannotRun("%v", err)
	}
	change(config)
	return config
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newGateway(rec *record, dir, name string) *gateway {
	g := &gateway{rec: rec, dir: filepath.Join(dir, name), name: name, listen: freePort("127.0.0.1")}
	if err := os.MkdirAll(g.dir, 0o755); err != nil {
		cannotRun("%v", err)
	}
	return g
}

func (g *gateway) configure(config map[string]any) {
	config["name"], config["listen"] = g.name, g.listen
	raw, _ := json.MarshalIndent(config, "", " ")
	if err := os.WriteFile(filepath.Join(g.dir, "config.json"), raw, 0o644); err != nil {
		cannotRun("%v", err)
	}
}

var (
	startedMu sync.Mutex
	started   []*gateway
)

// start starts the gateway with the command of the deploy file.
func (g *gateway) start() {
	run, err := deployCommand()
	if err != nil {
		cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(g.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	defer log.Close()
	g.cmd = exec.Command("/bin/sh", "-c", run)
	g.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+filepath.Join(g.dir, "config.json"))
	g.cmd.Env = append(g.cmd.Env, g.env...)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	g.rec.say("%s: process started", g.name)
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		g.rec.say("%s: process ended: %v", g.name, err)
		close(done)
	}(g.cmd, g.done)
	startedMu.Lock()
	started = append(started, g)
	startedMu.Unlock()
}

// deployCommand reads the command run of deploy/balancer.toml.
func deployCommand() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no run")
	}
	return string(m[1]), nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.rec.say("%s: %v", g.name, s)
	g.cmd.Process.Signal(s)
}

func (g *gateway) running() bool {
	select {
	case <-g.done:
		return false
	default:
		return true
	}
}

// awaitReady does what the front does: it asks with an empty query until that is answered as such.
func (g *gateway) awaitReady(bound time.Duration) {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := connect(g.listen)
		if err != nil {
			continue
		}
		r := c.query("", time.Second)
		c.close()
		if r.kind == "empty" {
			g.rec.say("%s: ready", g.name)
			return
		}
	}
	cannotRun("%s is not ready within %v", g.name, bound)
}

// endAll ends every process that this run has started.
func endAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, g := range started {
		if g.running() {
			g.cmd.Process.Signal(syscall.SIGCONT)
			g.cmd.Process.Kill()
			<-g.done
		}
	}
}

func cannotRun(format string, a ...any) {
	fmt.Printf("cannot run: "+format+"\n", a...)
	if out != nil {
		out.say("cannot run: "+format, a...)
	}
	endAll()
	removeFolder()
	os.Exit(2)
}

var folder string // the run's temporary folder

func removeFolder() {
	if folder != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(folder)
	}
}

var out *record

// trouble reports whether the run has its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(rec *record, dir string) (broken bool){}

func TestMain(m *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-standin-2 CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	folder = dir
	out = &record{file: file, start: time.Now()}
	time.AfterFunc(115*time.Second, func() { cannotRun("it takes too long") })
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
	go func() { cannotRun("told to end: %v", <-told) }()
	broken := cases[os.Args[1]](out, dir)
	endAll()
	removeFolder()
	if broken {
		out.say("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	out.say("the rule held")
	fmt.Println("the rule held")
	os.Exit(0)
}
