package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"marblespan/internal/fake"
)

const testTimeout = 20 * time.Second

// until reads the log up to a line that contains words.
func until(t *testing.T, lines *bufio.Scanner, words string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), words) {
			return
		}
	}
	t.Fatalf("the log ended without %q", words)
}

func connect(t *testing.T, addr string) *pgconn.PgConn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := pgconn.Connect(ctx, "postgres://backend@"+addr+"/store?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func booking(id string) string {
	return fmt.Sprintf("/* id=%s,c=booking,d=5000,cluster=1 */ INSERT INTO kv (name, content) VALUES ('k', '\\x01') RETURNING content", id)
}

func ask(c *pgconn.PgConn, sql string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	res, err := c.Exec(ctx, sql).ReadAll()
	if err != nil || len(res) == 0 || len(res[0].Rows) == 0 {
		return "", err
	}
	return string(res[0].Rows[0][0]), nil
}

// TestSignalsCross sends SIGHUP immediately before and after SIGTERM, and SIGTERM several times, while a request is in flight.
// The request must get its answer, and the process must stop once and exit with 0. The test guards against two failures: a second
// SIGTERM that starts the shutdown again, and a reload during the shutdown that waits for the owner goroutine after it has ended.
func TestSignalsCross(t *testing.T) {
	server, err := fake.NewServer("primary")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	arrived, release := make(chan struct{}), make(chan struct{})
	server.SetQueryHandler(func(q *fake.Query) {
		close(arrived)
		<-release
		q.ReplyRow([]byte("value of " + q.ID()))
	})
	addr := freeAddr(t)
	cmd, lines := start(t, addr, server)
	until(t, lines, "started")
	answered := make(chan string, 1)
	c := connect(t, addr)
	go func() {
		value, err := ask(c, booking("a"))
		answered <- fmt.Sprint(value, " ", err)
	}()
	<-arrived
	cmd.Process.Signal(syscall.SIGHUP)
	cmd.Process.Signal(syscall.SIGTERM)
	until(t, lines, `"stopping"`)
	for range 3 { // the reload shows that the SIGTERM before it has been handled
		cmd.Process.Signal(syscall.SIGTERM)
		cmd.Process.Signal(syscall.SIGHUP)
		until(t, lines, `"reloaded"`)
	}
	close(release)
	if got := <-answered; got != "value of a <nil>" {
		t.Errorf("the request in flight got %s", got)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	stopping := 0
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"stopping"`) {
			stopping++
		}
	}
	if err := cmd.Wait(); err != nil || stopping > 0 {
		t.Errorf("ended with %v, stopped %d more times", err, stopping)
	}
}

// TestKillAfterAccept kills the process immediately after it has accepted two connections, one that has sent nothing and one that
// has sent part of a message. Both connections must end, and the next process must serve requests at the same address.
func TestKillAfterAccept(t *testing.T) {
	server, err := fake.NewServer("primary")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	addr := freeAddr(t)
	cmd, lines := start(t, addr, server)
	until(t, lines, "started")
	var open []net.Conn
	for _, sent := range []string{"", "\x00\x00\x00"} {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		fmt.Fprint(nc, sent)
		open = append(open, nc)
	}
	cmd.Process.Kill()
	for lines.Scan() {
	}
	cmd.Wait()
	for _, nc := range open {
		nc.SetReadDeadline(time.Now().Add(testTimeout))
		if n, err := nc.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Errorf("read %d bytes, %v", n, err)
		}
	}
	_, lines = start(t, addr, server)
	until(t, lines, "started")
	c := connect(t, addr)
	defer c.Close(context.Background())
	if _, err := ask(c, ""); err != nil {
		t.Errorf("not ready: %v", err)
	}
	if value, err := ask(c, booking("b")); err != nil || value != "value of b" {
		t.Errorf("served %q, %v", value, err)
	}
}

// TestStopInTheMiddleOfAnswers begins the graceful shutdown while answers are partly written, because the client does not read
// yet. The client must get all answers complete, and then an orderly end of the connection. The test guards against a process
// that exits without waiting for its clients.
func TestStopInTheMiddleOfAnswers(t *testing.T) {
	server, err := fake.NewServer("primary")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	const answers = 60
	value := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	served := make(chan struct{}, answers)
	server.SetQueryHandler(func(q *fake.Query) {
		q.ReplyRow(value)
		served <- struct{}{}
	})
	addr := freeAddr(t)
	cmd, lines := start(t, addr, server)
	until(t, lines, "started")
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	text := "\x00\x03\x00\x00user\x00backend\x00database\x00store\x00\x00"
	all := append(binary.BigEndian.AppendUint32(nil, uint32(len(text)+4)), text...)
	for i := range answers {
		sql := booking(fmt.Sprint("x", i)) + "\x00"
		all = append(binary.BigEndian.AppendUint32(append(all, 'Q'), uint32(len(sql)+4)), sql...)
	}
	nc.Write(all)
	for range answers / 2 {
		<-served
	}
	cmd.Process.Signal(syscall.SIGTERM)
	until(t, lines, `"stopping"`)
	late, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	late.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadAll(late); err != nil { // the gateway closes the connection because it accepts no more clients
		t.Fatal(err)
	}
	go func() { // read the log, or the process may block in writing it
		for lines.Scan() {
		}
	}()
	got, err := io.ReadAll(nc)
	if n := bytes.Count(got, value); n != answers || err != nil {
		t.Errorf("%d complete answers of %d, then %v", n, answers, err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
