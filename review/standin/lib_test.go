//go:build review

// Package standin is the program behind the scripts of review/: the stand-ins of clients, database servers, discovery and the
// network, the steps of each case, and its check. It shares no code with the gateway. See review/REPORT.md.
package standin

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// longestRun is how long a case may take.
const longestRun = 117 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// TestMain runs one case: review-standin CASE FOLDER.
func TestMain(*testing.M) {
	runtime.LockOSThread() // a gateway is killed when the thread that started it ends
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(notRun)
	}
	code, err := runCase(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = notRun
	}
	os.Exit(code)
}

// run is one run of a case.
type run struct {
	dir     string // temporary folder
	trouble bool   // false with TROUBLE=0: the same without the disruption
	start   time.Time
	command string // the deploy file's run
	parent  *run   // of one of several deployments side by side: has the record and the breaks

	mu       sync.Mutex
	record   *bufio.Writer
	breaks   []string // the first of them
	broken   int      // how many there were
	gateways []*gateway
}

func runCase(name, folder string) (code int, err error) {
	r := &run{trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	if r.command, err = deployCommand(); err != nil {
		return notRun, err
	}
	if r.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return notRun, err
	}
	defer os.RemoveAll(r.dir)
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return notRun, err
	}
	defer file.Close()
	r.record = bufio.NewWriter(file)
	r.note("case %s, trouble %v", name, r.trouble)
	watchdog := time.AfterFunc(longestRun, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(notRun) // its gateways end with it (Pdeathsig)
	})
	defer watchdog.Stop()
	err = cases[name](r)
	for _, g := range r.gateways {
		g.end()
	}
	for _, b := range r.breaks {
		r.note("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if r.broken > len(r.breaks) {
		r.note("BROKEN %d times in all", r.broken)
		fmt.Println("broken:", r.broken, "times in all")
	}
	switch {
	case err != nil:
		r.note("not run: %v", err)
		code = notRun
	case len(r.breaks) > 0:
		code = broken
	default:
		r.note("held")
		fmt.Println("held")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Flush()
	return code, err
}

// note writes a line to record.txt.
func (r *run) note(format string, a ...any) {
	if r.parent != nil {
		r.parent.note(format, a...)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f ms  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, a...))
}

// broke records that a rule was broken.
func (r *run) broke(format string, a ...any) {
	if r.parent != nil {
		r.parent.broke(format, a...)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.broken++; r.broken <= 20 {
		r.breaks = append(r.breaks, fmt.Sprintf(format, a...))
	}
}

// deployCommand returns the value of run in deploy/balancer.toml.
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

// given are the ports that freeAddr has returned.
var given sync.Map

// freeAddr returns a loopback address that is free for connections and for datagrams, and that no other call returned. Its port is
// below those that the system gives to outgoing connections.
func freeAddr() string {
	for {
		port := 12000 + rand.IntN(20000)
		if _, taken := given.LoadOrStore(port, true); taken {
			continue
		}
		addr := fmt.Sprint("127.0.0.1:", port)
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		l.Close()
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		c.Close()
		return addr
	}
}

// ---------------------------------------------------------------------------------------------------------------- gateways

// gateway is one gateway process, started as the deploy file says.
type gateway struct {
	run    *run
	name   string
	listen string
	cmd    *exec.Cmd
	log    *os.File
	ended  chan struct{}
}

// class is one class of the settings.
type class struct {
	name, effect, freshness string
	aim, giveUp, bound      float64
}

// settings returns settings like those of deploy/sample.json.
func settings(gateways, ordinal int, classes []class) map[string]any {
	var list []any
	var freshness []string
	var bounds []float64
	for _, c := range classes {
		list = append(list, map[string]any{
			"name": c.name, "aim_ms": c.aim, "give_up_ms": c.giveUp, "effect": c.effect, "group": "all", "key_ttl_ms": 5000.0,
			"late_worth": 0.5, "points": 1.0, "stream": false,
		})
		freshness, bounds = append(freshness, c.freshness), append(bounds, c.bound)
	}
	return map[string]any{
		"balancers": gateways, "ordinal": ordinal, "granularity_ms": 5.0, "locality": "here", "membership_mode": "subscribe", "classes": list,
		"family_info": map[string]any{
			"answers_stamped": true, "checks": "await", "counted_from_ms": 0.0, "freshness": freshness, "oldest_data_ms": bounds, "wait_ms": 50.0,
			"write_marks": "brought", "shows_role": "trailing",
		},
		"policy_limits": map[string]any{
			"cancelling": true, "connect_timeout_ms": 250.0, "keepalive_ms": 30000.0, "max_retry_after_ms": 2000.0, "may_tell": false,
			"most_tries": 10, "probing": true, "retry_after": false, "second_copies": false,
		},
		"report": map[string]any{"fields": []string{"x0", "x1", "cpu_share"}, "how": "probe"},
		"rules": map[string]any{
			"ask_within_ms": 10000.0, "cold_from": 0.26, "fall_ms": 3000.0, "grace_to_answer_ms": 20.0, "overload_factor": 4.0,
			"ramp_time_ms": 16000.0, "stop_sending_within_ms": 250.0,
		},
	}
}

// startGateway starts a gateway. conf is the text of the operators' file; empty: none.
func (r *run) startGateway(name, discovery string, known []target, set map[string]any, conf string) (*gateway, error) {
	g := &gateway{run: r, name: name, listen: freeAddr(), ended: make(chan struct{})}
	raw, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": g.listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 1, "all": true, "targets": known}, "settings": set,
	}, "", " ")
	if err != nil {
		return nil, err
	}
	config := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(config, raw, 0o600); err != nil {
		return nil, err
	}
	g.cmd = exec.Command("/bin/sh", "-c", r.command)
	g.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config, "PROXY_NAME="+name, "PROXY_LISTEN="+g.listen, "PROXY_DISCOVERY="+discovery, "TMPDIR="+r.dir)
	if conf != "" {
		path := filepath.Join(r.dir, name+".conf")
		if err := os.WriteFile(path, []byte(conf), 0o600); err != nil {
			return nil, err
		}
		g.cmd.Env = append(g.cmd.Env, "MARBLESPAN_CONF="+path)
	}
	if g.log, err = os.Create(filepath.Join(r.dir, name+".log")); err != nil {
		return nil, err
	}
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	r.gateways = append(r.gateways, g)
	r.note("gateway %s: process %d started, listens on %s", name, g.cmd.Process.Pid, g.listen)
	go func() {
		err := g.cmd.Wait()
		r.note("gateway %s: process ended: %v", name, endOf(err))
		close(g.ended)
	}()
	return g, nil
}

func endOf(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// signal sends a signal to the gateway's process, and notes it.
func (g *gateway) signal(s syscall.Signal) {
	g.run.note("gateway %s: %v", g.name, s)
	g.cmd.Process.Signal(s)
}

// hasEnded reports whether the process has ended within a time.
func (g *gateway) hasEnded(within time.Duration) bool {
	select {
	case <-g.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// end kills the process if it still runs, and waits for it.
func (g *gateway) end() {
	if !g.hasEnded(0) {
		g.cmd.Process.Kill()
		<-g.ended
	}
	g.log.Close()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		raw, _ := os.ReadFile(g.log.Name())
		os.WriteFile(filepath.Join(keep, g.name+".log"), raw, 0o600)
	}
}

// ready waits until the gateway answers an empty query, as the front does.
func (g *gateway) ready(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := dialClient(g.listen)
		if err != nil {
			continue
		}
		kind, _, _ := c.send("")
		c.close()
		if kind == answerEmpty {
			g.run.note("gateway %s: ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("gateway %s was not ready within %v", g.name, within)
}

// ---------------------------------------------------------------------------------------------------------------- messages

func frame(kind byte, body ...byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

func readFrame(r io.Reader) (kind byte, body []byte, err error) {
	header := make([]byte, 5)
	if _, err := io.ReadFull(r, header); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(header[1:])
	if n < 4 || n > 1<<20 {
		return 0, nil, errors.New("length of a message out of range")
	}
	body = make([]byte, n-4)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

func parameter(name, value string) []byte { return frame('S', []byte(name+"\x00"+value+"\x00")...) }

func row(value, tag string) []byte {
	description := append([]byte{0, 1}, "content\x00"...)
	description = append(append(description, make([]byte, 16)...), 0, 1)
	b := frame('T', description...)
	b = append(b, frame('D', append(binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), value...)...)...)
	return append(b, frame('C', []byte(tag+"\x00")...)...)
}

func errorMessage(severity, code string) []byte {
	return frame('E', []byte("S"+severity+"\x00V"+severity+"\x00C"+code+"\x00Mstand-in\x00\x00")...)
}

// ----------------------------------------------------------------------------------------------------------------- servers

// server is a database server, as PROTOCOL.md describes it.
type server struct {
	run      *run
	name     string
	listener net.Listener

	mu      sync.Mutex
	role    string
	applied int64 // position in ms; 0: the present
	data    map[string]string
	ran     map[string]int // number of runs, by the request's id
	ranKey  map[string]int // number of runs of writes, by the key
	count   int

	handle func(q *query) // nil: run the statement and answer
}

// query is one statement at a server.
type query struct {
	server    *server
	conn      net.Conn
	reader    *bufio.Reader
	sql, id   string
	key       string
	write     bool
	content   string
	number    int
	waitMS    int
	arrivedAt time.Time
}

var (
	fieldID   = regexp.MustCompile(`id=([^, ]+)`)
	fieldWait = regexp.MustCompile(`d=([0-9]+)`)
	selectSQL = regexp.MustCompile(`SELECT content FROM kv WHERE name = '([^']*)'$`)
	insertSQL = regexp.MustCompile(`INSERT INTO kv \(name, content\) VALUES \('([^']*)', '\\x([0-9a-f]*)'\) RETURNING content$`)
)

func (r *run) startServer(name, role string) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{run: r, name: name, role: role, listener: l, data: map[string]string{}, ran: map[string]int{}, ranKey: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *server) addr() string { return s.listener.Addr().String() }

func (s *server) status() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.applied
	if at == 0 {
		at = time.Now().UnixMilli()
	}
	return append(parameter("role", s.role), parameter("applied_ms", fmt.Sprint(at))...)
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	size := make([]byte, 4)
	if _, err := io.ReadFull(r, size); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(size))-4); err != nil {
		return
	}
	conn.Write(append(append(frame('R', 0, 0, 0, 0), s.status()...), frame('Z', 'I')...))
	for {
		kind, body, err := readFrame(r)
		if err != nil || kind != 'Q' {
			return
		}
		q := &query{server: s, conn: conn, reader: r, sql: strings.TrimRight(string(body), "\x00"), arrivedAt: time.Now()}
		if q.sql == "SHOW load" {
			primary := 0
			if s.role == "primary" {
				primary = 1
			}
			at := time.Now().UnixMilli()
			conn.Write(append(row(fmt.Sprintf("x0=%d.%03d,x1=%d,cpu_share=0.25", at/1000, at%1000, primary), "SHOW"), append(s.status(), frame('Z', 'I')...)...))
			continue
		}
		if m := fieldID.FindStringSubmatch(q.sql); m != nil {
			q.id = m[1]
		}
		if m := fieldWait.FindStringSubmatch(q.sql); m != nil {
			fmt.Sscan(m[1], &q.waitMS)
		}
		if m := selectSQL.FindStringSubmatch(q.sql); m != nil {
			q.key = m[1]
		} else if m := insertSQL.FindStringSubmatch(q.sql); m != nil {
			q.key, q.content, q.write = m[1], m[2], true
		} else {
			s.run.note("server %s: a statement that no client sent: %q", s.name, q.sql)
			conn.Write(append(errorMessage("ERROR", "08P01"), frame('Z', 'I')...))
			continue
		}
		s.mu.Lock()
		s.count++
		q.number = s.count
		handle := s.handle
		s.mu.Unlock()
		if handle != nil {
			handle(q)
		} else {
			q.answer()
		}
	}
}

// execute runs the statement and returns its row's value.
func (q *query) execute() string {
	s := q.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[q.id]++
	if q.write {
		s.data[q.key] = unhex(q.content)
		s.ranKey[q.key]++
	}
	return s.data[q.key]
}

// answer runs the statement and answers.
func (q *query) answer() {
	if q.write && q.server.role != "primary" {
		q.conn.Write(append(append(errorMessage("ERROR", "25006"), q.server.status()...), frame('Z', 'I')...))
		return
	}
	q.conn.Write(q.rowAnswer(q.execute()))
}

// rowAnswer returns the whole answer with one row.
func (q *query) rowAnswer(value string) []byte {
	tag := "SELECT 1"
	if q.write {
		tag = "INSERT 0 1"
	}
	return append(row(value, tag), append(q.server.status(), frame('Z', 'I')...)...)
}

func (s *server) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

func unhex(h string) string {
	b := make([]byte, len(h)/2)
	for i := range b {
		fmt.Sscanf(h[2*i:2*i+2], "%02x", &b[i])
	}
	return string(b)
}

// --------------------------------------------------------------------------------------------------------------- discovery

// target is one entry of discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
	Role     string  `json:"role,omitempty"`
}

func targetOf(uid, addr, role string) target {
	return target{UID: uid, Endpoint: addr, Zone: "here", Model: "any", Group: 1, State: "ready", Capacity: 1, Role: role}
}

// discovery serves the list, and watches on which an empty line comes every 2 s.
func (r *run) startDiscovery(list []target) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	raw, err := json.Marshal(map[string]any{"rev": 1, "all": true, "targets": list})
	if err != nil {
		return "", err
	}
	line := string(raw) + "\n"
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				first, err := in.ReadString('\n')
				for s := first; err == nil && strings.TrimSpace(s) != ""; {
					s, err = in.ReadString('\n')
				}
				if err != nil {
					return
				}
				if !strings.Contains(first, "watch=1") {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
				for {
					time.Sleep(2 * time.Second)
					if _, err := fmt.Fprint(c, "1\r\n\n\r\n"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), nil
}

// ----------------------------------------------------------------------------------------------------------------- network

// link forwards TCP connections to an address. Each piece that is read is passed on after a delay between least and most, in order.
func startLink(to string, least, most time.Duration) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp4", to)
				if err != nil {
					near.(*net.TCPConn).SetLinger(0)
					near.Close()
					return
				}
				go forward(far, near, least, most)
				forward(near, far, least, most)
			}()
		}
	}()
	return l.Addr().String(), nil
}

func forward(to, from net.Conn, least, most time.Duration) {
	type piece struct {
		data []byte
		due  time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.data); err != nil {
				from.Close()
			}
		}
		to.Close()
	}()
	last := time.Now()
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if n > 0 {
			due := time.Now().Add(least + time.Duration(rand.Int64N(int64(most-least)+1)))
			if due.Before(last) {
				due = last
			}
			last = due
			pieces <- piece{b[:n], due}
		}
		if err != nil {
			close(pieces)
			return
		}
	}
}

// ----------------------------------------------------------------------------------------------------------------- clients

// answerKind is what PROTOCOL.md says an answer means.
type answerKind string

const (
	answerServed  answerKind = "served"
	answerRefused answerKind = "refused"
	answerFailed  answerKind = "failed"
	answerEmpty   answerKind = "empty"
	answerNone    answerKind = "no answer"
)

// client is one client's connection.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	b := append([]byte{0, 3, 0, 0}, "user\x00backend\x00database\x00store\x00\x00"...)
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	defer conn.SetDeadline(time.Time{})
	if _, err := conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(4+len(b))), b...)); err != nil {
		conn.Close()
		return nil, err
	}
	for {
		kind, _, err := readFrame(c.r)
		if err != nil || kind == 'E' {
			conn.Close()
			return nil, fmt.Errorf("start-up: %q, %v", kind, err)
		}
		if kind == 'Z' {
			return c, nil
		}
	}
}

func (c *client) close() { c.conn.Close() }

// post writes one query.
func (c *client) post(sql string) error {
	_, err := c.conn.Write(frame('Q', append([]byte(sql), 0)...))
	return err
}

// send writes one query and reads its answer.
func (c *client) send(sql string) (answerKind, string, error) {
	if err := c.post(sql); err != nil {
		return answerNone, "", err
	}
	return c.read()
}

// read reads one answer. detail is the value or the error's code.
func (c *client) read() (kind answerKind, detail string, err error) {
	kind = answerNone
	got := false
	for {
		t, body, err := readFrame(c.r)
		if err != nil {
			if kind == answerRefused || kind == answerFailed { // a fatal error does not need to be followed by ReadyForQuery
				return kind, detail, nil
			}
			return answerNone, detail, err
		}
		switch t {
		case 'D':
			detail, got = string(body[6:]), true
		case 'C':
			if got {
				kind = answerServed
			}
		case 'I':
			kind = answerEmpty
		case 'E':
			for _, f := range strings.Split(string(body), "\x00") {
				if f != "" && f[0] == 'C' {
					detail = f[1:]
				}
			}
			kind = answerFailed
			if detail == "53300" || detail == "57P03" {
				kind = answerRefused
			}
		case 'Z':
			return kind, detail, nil
		}
	}
}

func selectOf(id, class, key string, waitMS int, more string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=1%s */ SELECT content FROM kv WHERE name = '%s'", id, class, waitMS, more, key)
}

func insertOf(id, class, key, content string, waitMS int, more string) string {
	return fmt.Sprintf(`/* id=%s,c=%s,d=%d,cluster=1%s */ INSERT INTO kv (name, content) VALUES ('%s', '\x%x') RETURNING content`, id, class, waitMS, more, key, content)
}
