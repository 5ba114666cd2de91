// Package control is the local socket over which a running gateway is asked how it is. A question is one line; the answer is
// one JSON object, {"answer": ...} or {"error": "..."}, and the end of the connection.
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

// maxConcurrent is how many questions are answered at a time; the rest wait in the kernel's backlog.
const maxConcurrent = 2

// Descriptors is how many file descriptors the server holds at most: the listener and its connections.
const Descriptors = 1 + maxConcurrent

// timeout bounds a question and its answer.
const timeout = 2 * time.Second

// maxQuestionSize and maxAnswerSize bound a question and an answer, in bytes.
const (
	maxQuestionSize = 256
	maxAnswerSize   = 1 << 20
)

// reply is what is sent back: one of the two.
type reply struct {
	Answer json.RawMessage `json:"answer,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Server answers questions on a socket of the file system. Its goroutines end with Close.
type Server struct {
	listener *net.UnixListener
	done     sync.WaitGroup
}

// Listen starts to answer. A socket that a dead process has left is replaced; one that still answers, or any other file,
// is an error.
func Listen(path string, answer func(question string) (any, error)) (*Server, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s is there and no socket", path)
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
	if err := os.Chmod(path, 0o600); err != nil { // it is for whoever runs the gateway
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
			time.Sleep(timeout / 100) // no descriptor: one that ends frees one
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

// Close stops answering and removes the socket. A server that never was is closed already.
func (s *Server) Close() {
	if s != nil {
		s.listener.Close()
		s.done.Wait()
	}
}

// Query asks the gateway behind a socket a question and decodes its answer. An error that the gateway answers with is returned
// by its text.
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
