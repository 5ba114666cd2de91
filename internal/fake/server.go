// Package fake holds working, simplified counterparts of what a gateway talks to, for tests: a database server (Server), the
// discovery service (Discovery), the network between nodes (Path, Relay), a switch with a floating address (Switch), and
// clients (Client, with a Ledger of their outcomes).
//
// They are written from the public specifications and share no code with the gateway's codecs, so that a mistake in a codec is not
// repeated here. Only tests, the test cluster and the experiments import the package. Each fake owns the goroutines that it
// starts; its Close ends them and waits for them. The main decisions are in Client.run and Client.attempt (retries and
// outcomes), Ledger.Check (exactly-once checks), Path.forward and Relay.copyDirection (impairments), and
// Switch.handleAnnouncement (which gateway is active).
package fake

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Query is one statement that a server received.
type Query struct {
	SQL  string
	Conn int // the number of its connection, from 1

	server   *Server
	conn     net.Conn
	inFlight *[]byte // what WriteInFlight has written to the connection and the peer has not received yet
}

// ID returns the id in the statement's comment.
func (q *Query) ID() string { return q.Field("id") }

// Field returns a value in the statement's comment, or "" if it is missing.
func (q *Query) Field(name string) string {
	m := regexp.MustCompile(`[ ,*]` + name + `=([^, ]*)`).FindStringSubmatch(q.SQL)
	if m == nil {
		return ""
	}
	return m[1]
}

// ClientIP returns the IP address that the query came from.
func (q *Query) ClientIP() string { return q.conn.RemoteAddr().(*net.TCPAddr).IP.String() }

// Server is a database server. Each query goes to its handler, on the connection's goroutine.
type Server struct {
	QueryHandler func(*Query) // may be set before the first connection; afterwards use SetQueryHandler
	Closed       chan int     // receives the number of each connection that has ended
	Position     atomic.Int64 // the replication position that the server reports, in milliseconds
	Role         atomic.Value // the role that the server reports: a string
	Silent       atomic.Bool  // the server reads all input and sends nothing, as if its machine were cut off
	RejectsEmpty atomic.Bool  // the server answers an empty query with an error
	StartupDelay atomic.Int64 // how late the server answers a startup message, as a time.Duration

	listener   net.Listener
	goroutines sync.WaitGroup // the accept loop and one goroutine for each connection

	mu                 sync.Mutex
	conns              map[net.Conn]struct{}
	opened             int // connections so far
	queries            []string
	startupError       string // the error code that answers startup messages; empty for none
	healthCheckHandler func(*Query) bool
}

// NewServer starts a server on loopback. Its initial handler answers "value of " and the request's id.
func NewServer(role string) (*Server, error) { return NewServerAt("127.0.0.1:0", role) }

// NewServerAt does the same as NewServer, but the server listens on the address at.
func NewServerAt(at, role string) (*Server, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, conns: map[net.Conn]struct{}{}, Closed: make(chan int, 4096)}
	s.Role.Store(role)
	s.QueryHandler = func(q *Query) { q.ReplyRow([]byte("value of " + q.ID())) }
	s.goroutines.Go(s.accept)
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// ConnsOpened returns the number of connections accepted so far.
func (s *Server) ConnsOpened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Queries lists the statements received so far, in order, without health checks.
func (s *Server) Queries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.queries)
}

// RejectStartups makes the server answer startup messages with an error code; an empty code makes the server accept startup
// messages again.
func (s *Server) RejectStartups(code string) {
	s.mu.Lock()
	s.startupError = code
	s.mu.Unlock()
}

// ResetConns resets every open connection, as if the process had ended.
func (s *Server) ResetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.listener.Close()
	s.ResetConns()
	s.goroutines.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.opened++
		number := s.opened
		s.mu.Unlock()
		s.goroutines.Go(func() {
			s.serve(conn, number)
			conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
			s.Closed <- number
		})
	}
}

// serve handles one connection until either side closes it.
func (s *Server) serve(conn net.Conn, number int) {
	r := bufio.NewReader(conn)
	if !s.startUp(conn, r) {
		return
	}
	var inFlight []byte
	for {
		header := make([]byte, 5)
		if _, err := io.ReadFull(r, header); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(header[1:])-4)
		if _, err := io.ReadFull(r, body); err != nil || header[0] != 'Q' {
			return
		}
		if s.Silent.Load() {
			continue
		}
		conn.Write(inFlight)
		inFlight = nil
		s.handle(&Query{SQL: strings.TrimRight(string(body), "\x00"), Conn: number, server: s, conn: conn, inFlight: &inFlight})
	}
}

// startUp reads the startup message and answers it. It reports whether the connection accepts queries.
func (s *Server) startUp(conn net.Conn, r *bufio.Reader) bool {
	size := make([]byte, 4)
	if _, err := io.ReadFull(r, size); err != nil {
		return false
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(size))-4); err != nil {
		return false
	}
	time.Sleep(time.Duration(s.StartupDelay.Load()))
	s.mu.Lock()
	startupError := s.startupError
	s.mu.Unlock()
	if startupError != "" {
		conn.Write(errorResponse("FATAL", startupError))
		return false
	}
	conn.Write(append(frame('R', 0, 0, 0, 0), append(s.statusParameters(), readyForQuery()...)...))
	return true
}

// handle answers an empty query or a health check, or passes a query to its handler.
func (s *Server) handle(q *Query) {
	if q.SQL == "" {
		if s.RejectsEmpty.Load() {
			q.ReplyError("08P01")
			return
		}
		q.Write(append(frame('I'), append(s.statusParameters(), readyForQuery()...)...))
		return
	}
	if q.SQL == "SHOW load" {
		s.mu.Lock()
		handler := s.healthCheckHandler
		s.mu.Unlock()
		if handler == nil || !handler(q) {
			q.ReplyRow([]byte(s.loadReport()))
		}
		return
	}
	s.mu.Lock()
	s.queries = append(s.queries, q.SQL)
	handler := s.QueryHandler
	s.mu.Unlock()
	handler(q)
}

// SetHealthCheckHandler sets a function that is called for each health check. The function reports whether it has answered the
// health check. If the function has not answered, the server answers with its load report.
func (s *Server) SetHealthCheckHandler(h func(*Query) bool) {
	s.mu.Lock()
	s.healthCheckHandler = h
	s.mu.Unlock()
}

// SetQueryHandler replaces the handler of queries.
func (s *Server) SetQueryHandler(h func(*Query)) {
	s.mu.Lock()
	s.QueryHandler = h
	s.mu.Unlock()
}

func (s *Server) loadReport() string {
	primary := 0
	if s.Role.Load() == "primary" {
		primary = 1
	}
	ms := s.Position.Load()
	return fmt.Sprintf("x0=%d.%03d,x1=%d,cpu_share=0.25", ms/1000, ms%1000, primary)
}

func (s *Server) statusParameters() []byte {
	b := parameterStatus("role", s.Role.Load().(string))
	return append(b, parameterStatus("applied_ms", fmt.Sprint(s.Position.Load()))...)
}

// ReplyRow answers with one row of one column.
func (q *Query) ReplyRow(value []byte) {
	q.conn.Write(append(RowMessages(value), append(q.server.statusParameters(), readyForQuery()...)...))
}

// ReplyError answers with an error code.
func (q *Query) ReplyError(code string) {
	q.conn.Write(append(errorResponse("ERROR", code), append(q.server.statusParameters(), readyForQuery()...)...))
}

// Write sends raw bytes.
func (q *Query) Write(b []byte) { q.conn.Write(b) }

// WriteInFlight sends raw bytes that are slow on the network: the peer receives them after it has sent its next message and before
// it receives the answer to that message.
func (q *Query) WriteInFlight(b []byte) { *q.inFlight = append(*q.inFlight, b...) }

// CloseConn closes the connection without an answer.
func (q *Query) CloseConn() { q.conn.Close() }
