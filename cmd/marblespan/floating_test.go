package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"marblespan/internal/cli"
	"marblespan/internal/fake"
)

// TestSuspendedActiveGateway suspends the gateway that holds a floating address for longer than its peers would wait for its
// advertisements, and sends it a booking meanwhile. The gateway must lose the address when it resumes, and reject the booking
// without sending it to a server, because a peer may hold the address by then. Then it must become active again, serve requests,
// and be shown as active by `vrrp status`.
func TestSuspendedActiveGateway(t *testing.T) {
	server, err := fake.NewServer("primary")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	floating, socket := freeAddr(t), filepath.Join(t.TempDir(), "s")
	conf := filepath.Join(t.TempDir(), "m.conf")
	text := fmt.Sprintf("control %s\nvrrp\nnode 1\nbind %s\nkey 1 \"a secret of this test\"\ngroup counters\nvrid 51\naddress 192.0.2.10\n"+
		"listen %s\ninterval 100ms\n", socket, freeAddr(t), floating)
	if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("MARBLESPAN_CONF", conf)
	cmd, log := start(t, freeAddr(t), server)
	waitFor := func(words ...string) {
		t.Helper()
		for log.Scan() {
			all := true
			for _, w := range words {
				all = all && strings.Contains(log.Text(), w)
			}
			if all {
				return
			}
		}
		t.Fatalf("no line with %q", words)
	}
	waitFor(`"to":"active"`)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	connect := func() *pgconn.PgConn {
		for {
			c, err := pgconn.Connect(ctx, "postgres://backend@"+floating+"/store?sslmode=disable")
			if err == nil {
				return c
			}
			if ctx.Err() != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	book := func(c *pgconn.PgConn, id string) string {
		_, err := c.Exec(ctx, "/* id="+id+",c=booking,d=5000,cluster=1 */ INSERT INTO kv (name, content) VALUES ('"+id+"', '\\x01') RETURNING content").ReadAll()
		var rejected *pgconn.PgError
		if errors.As(err, &rejected) {
			return rejected.Code
		}
		return fmt.Sprint(err)
	}
	c := connect()
	if got := book(c, "a"); got != "<nil>" {
		t.Fatalf("a booking before the suspension: %s", got)
	}
	cmd.Process.Signal(syscall.SIGSTOP)
	for !stopped(t, cmd.Process.Pid) { // threads on other cores may still run after the signal is sent
		time.Sleep(time.Millisecond)
	}
	answer := make(chan string, 1)
	go func() { answer <- book(c, "b") }()
	time.Sleep(600 * time.Millisecond) // the suspension that is tested: longer than peers wait at an interval of 100 ms
	cmd.Process.Signal(syscall.SIGCONT)
	if got := <-answer; got != "53300" && got != "57P03" {
		t.Errorf("a booking during the suspension: %s", got)
	}
	waitFor(`"cause":"stood_still"`)
	waitFor(`"to":"active"`)
	if got := book(connect(), "c"); got != "<nil>" {
		t.Errorf("a booking after the suspension: %s", got)
	}
	for _, sql := range server.Queries() {
		if strings.Contains(sql, "id=b,") {
			t.Error("the booking was sent to a server")
		}
	}
	var out, errs strings.Builder
	if code := cli.Main([]string{"vrrp", "status", "--conf", conf}, os.Getenv, &out, &errs); code != 0 ||
		!strings.Contains(out.String(), "counters  51") || !strings.Contains(out.String(), "active") {
		t.Errorf("%d %s%s", code, out.String(), errs.String())
	}
	cmd.Process.Signal(syscall.SIGTERM)
	waitFor(`"message":"vrrp counters"`, `"lost_stood_still":1`)
	for log.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(socket); err == nil {
		t.Error("the control socket was not removed")
	}
}

// stopped reports whether every thread of a process is stopped.
func stopped(t *testing.T, pid int) bool {
	t.Helper()
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(stats) == 0 {
		t.Fatalf("cannot list the threads of process %d: %v", pid, err)
	}
	for _, name := range stats {
		raw, err := os.ReadFile(name)
		if _, rest, _ := strings.Cut(string(raw), ") "); err != nil || !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return true
}
