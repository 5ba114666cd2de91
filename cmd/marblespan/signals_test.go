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

const patience = 20 * time.Second

// until reads the log up to a line that holds the words.
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	res, err := c.Exec(ctx, sql).ReadAll()
	if err != nil || len(res) == 0 || len(res[0].Rows) == 0 {
		return "", err
	}
	return string(res[0].Rows[0][0]), nil
}

// SIGHUP right before SIGTERM, right behind it, and a second SIGTERM, with a request under way: the request has its answer,
// and the process ends once, with 0. Fails where a second SIGTERM stops the gateway again, and where a reload that meets
// the stop waits for an owner that has ended.
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
	for range 3 { // the answer to a later SIGHUP shows that the SIGTERM before it was taken in
		cmd.Process.Signal(syscall.SIGTERM)
		cmd.Process.Signal(syscall.SIGHUP)
		until(t, lines, `"reloaded"`)
	}
	close(release)
	if got := <-answered; got != "value of a <nil>" {
		t.Errorf("the request under way got %s", got)
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

// A process that is killed right behind an accept, with a connection that has said nothing and one whose request is half
// there, is followed by one that serves at the same address.
func TestKillBehindAccept(t *testing.T) {
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
		nc.SetReadDeadline(time.Now().Add(patience))
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

// Answers that are half written when the stop begins, as their client does not read yet, go out whole, and the client sees an
// orderly end behind them. Fails where the process ends without waiting for its clients.
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
	nc.SetDeadline(time.Now().Add(patience))
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
	resting, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer resting.Close()
	resting.SetDeadline(time.Now().Add(patience))
	if _, err := io.ReadAll(resting); err != nil { // it is closed once the gateway takes no more
		t.Fatal(err)
	}
	go func() { // the log must be read, or the process may wait for it
		for lines.Scan() {
		}
	}()
	got, err := io.ReadAll(nc)
	if n := bytes.Count(got, value); n != answers || err != nil {
		t.Errorf("%d whole answers of %d, then %v", n, answers, err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
