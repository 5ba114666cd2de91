// Package control implements the control socket, a local socket over which commands query a running gateway. A client sends a
// question of one line. The server answers with one JSON object, {"answer": ...} or {"error": "..."}, and closes the connection.
package control

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// maxConcurrent is how many questions are answered concurrently. Further connections wait in the kernel's backlog.
const maxConcurrent = 2

// Descriptors is the maximum number of file descriptors that the server holds: one for the listener and one for each connection.
const Descriptors = 1 + maxConcurrent

// timeout bounds the time for a question and its answer.
const timeout = 2 * time.Second

// maxQuestionSize and maxAnswerSize bound a question and an answer, in bytes.
const (
	maxQuestionSize = 256
	maxAnswerSize   = 1 << 20
)

// reply is the JSON object that the server sends. Exactly one of its fields is set.
type reply struct {
	Answer json.RawMessage `json:"answer,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Server answers questions on a Unix domain socket. Its goroutines run until Close.
type Server struct {
	listener *net.UnixListener
	done     sync.WaitGroup
}

// Listen creates the socket at path and starts a server that calls the function answer for each question, from several
// goroutines. A socket that a dead process has left is replaced. It is an error if a process still accepts connections at path,
// or if path is another file.
func Listen(path string, answer func(question string) (any, error)) (*Server, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s exists and is not a socket", path)
		}
		if c, err := net.DialTimeout("unix", path, timeout); err == nil {
			c.Close()
			return nil, fmt.Errorf("%s is in use", path)
		}
		os.Remove(path)
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil { // only the user that runs the gateway may connect
		l.Close()
		return nil, err
	}
	s := &Server{listener: l}
	for range maxConcurrent {
		s.done.Go(func() { s.serve(answer) })
	}
	return s, nil
}

func (s *Server) serve(answer func(string) (any, error)) {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(timeout / 100) // no file descriptor is free; wait until a connection closes
			continue
		}
		c.SetDeadline(time.Now().Add(timeout))
		line, err := bufio.NewReader(io.LimitReader(c, maxQuestionSize)).ReadString('\n')
		if err == nil {
			json.NewEncoder(c).Encode(replyTo(answer, strings.TrimSpace(line)))
		}
		c.Close()
	}
}

func replyTo(answer func(string) (any, error), question string) reply {
	v, err := answer(question)
	if err == nil {
		var raw []byte
		if raw, err = json.Marshal(v); err == nil {
			return reply{Answer: raw}
		}
	}
	return reply{Error: err.Error()}
}

// Close stops the server and removes the socket. Close does nothing on a nil Server.
func (s *Server) Close() {
	if s != nil {
		s.listener.Close()
		s.done.Wait()
	}
}

// Query sends a question to the gateway that listens on the socket at path, and decodes its answer. If the gateway answers with an
// error, Query returns an error with the same text.
func Query(path, question string, into any) error {
	c, err := net.DialTimeout("unix", path, timeout)
	if err != nil {
		return fmt.Errorf("no gateway answers at %s: %w", path, err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, question+"\n"); err != nil {
		return err
	}
	var r reply
	if err := json.NewDecoder(io.LimitReader(c, maxAnswerSize)).Decode(&r); err != nil {
		return fmt.Errorf("the answer cannot be read: %w", err)
	}
	if r.Error != "" {
		return errors.New(r.Error)
	}
	return json.Unmarshal(r.Answer, into)
}
