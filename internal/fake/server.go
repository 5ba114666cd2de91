// Package fake holds small stand-ins for what a gateway talks to: a database server and the discovery service,
// written from the public specifications alone. Only tests import it. It shares no code with the gateway's codecs,
// so that a mistake there is not made here as well.
package fake

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
)

// Query is one statement as a server received it.
type Query struct {
	SQL  string
	Conn int // which connection it came over, from 1

	server *Server
	conn   net.Conn
}

// ID is the id in the statement's comment.
func (q *Query) ID() string { return q.Field("id") }

// Field is a value in the statement's comment.
func (q *Query) Field(name string) string {
	m := regexp.MustCompile(`[ ,*]` + name + `=([^, ]*)`).FindStringSubmatch(q.SQL)
	if m == nil {
		return ""
	}
	return m[1]
}

// From is the IP that the query came from.
func (q *Query) ClientIP() string { return q.conn.RemoteAddr().(*net.TCPAddr).IP.String() }

// Server is a database server. Each query goes to its handler, on the connection's goroutine.
type Server struct {
	QueryHandler func(*Query)

	mu                 sync.Mutex
	listener           net.Listener
	conns              map[net.Conn]struct{}
	opened             int
	queries            []string
	startupError       string
	healthCheckHandler func(*Query) bool
	goroutines         sync.WaitGroup
	Closed             chan int // the number of each connection that has ended
	Position           atomic.Int64
	Role               atomic.Value
	Silent             atomic.Bool // it takes everything in and says nothing more, like a machine that is cut off
}

// NewServer starts a server on loopback whose answers, unless the handler gives others, are the key it was asked for.
func NewServer(role string) (*Server, error) { return NewServerAt("127.0.0.1:0", role) }

// NewServerAt starts a server at an address.
func NewServerAt(at, role string) (*Server, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, conns: map[net.Conn]struct{}{}, Closed: make(chan int, 4096)}
	s.Role.Store(role)
	s.QueryHandler = func(q *Query) { q.ReplyRow([]byte("value of " + q.ID())) }
	s.goroutines.Add(1)
	go s.accept(l)
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Opened is how many connections have come up so far.
func (s *Server) ConnsOpened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Queries lists the statements that came from clients, in order.
func (s *Server) Queries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.queries...)
}

// Refuse makes the server answer start-ups with an error code; empty for none.
func (s *Server) RejectStartups(code string) {
	s.mu.Lock()
	s.startupError = code
	s.mu.Unlock()
}

// Drop resets every open connection, as the end of a process does.
func (s *Server) ResetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close ends the server.
func (s *Server) Close() {
	s.listener.Close()
	s.ResetConns()
	s.goroutines.Wait()
}

func (s *Server) accept(l net.Listener) {
	defer s.goroutines.Done()
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[nc] = struct{}{}
		s.opened++
		number := s.opened
		s.mu.Unlock()
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			s.serve(nc, number)
			nc.Close()
			s.mu.Lock()
			delete(s.conns, nc)
			s.mu.Unlock()
			s.Closed <- number
		}()
	}
}

func (s *Server) serve(conn net.Conn, number int) {
	r := bufio.NewReader(conn)
	size := make([]byte, 4)
	if _, err := io.ReadFull(r, size); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(size))-4); err != nil {
		return
	}
	s.mu.Lock()
	startupError := s.startupError
	s.mu.Unlock()
	if startupError != "" {
		conn.Write(errorMessage("FATAL", startupError))
		return
	}
	conn.Write(append(frame('R', 0, 0, 0, 0), append(s.statusParameters(), ready()...)...))
	for {
		head := make([]byte, 5)
		if _, err := io.ReadFull(r, head); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(r, body); err != nil || head[0] != 'Q' {
			return
		}
		q := &Query{SQL: strings.TrimRight(string(body), "\x00"), Conn: number, server: s, conn: conn}
		if s.Silent.Load() {
			continue
		}
		if q.SQL == "SHOW load" {
			s.mu.Lock()
			handler := s.healthCheckHandler
			s.mu.Unlock()
			if handler != nil && handler(q) {
				continue
			}
			q.ReplyRow([]byte(s.loadReport()))
			continue
		}
		s.mu.Lock()
		s.queries = append(s.queries, q.SQL)
		handle := s.QueryHandler
		s.mu.Unlock()
		handle(q)
	}
}

// SetProbe has probes handled first by a function that tells whether it has dealt with them.
func (s *Server) SetHealthCheckHandler(h func(*Query) bool) {
	s.mu.Lock()
	s.healthCheckHandler = h
	s.mu.Unlock()
}

// SetHandle changes what the server does with queries.
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
	b := parameter("role", s.Role.Load().(string))
	return append(b, parameter("applied_ms", fmt.Sprint(s.Position.Load()))...)
}

// Serve answers with a row of one column.
func (q *Query) ReplyRow(value []byte) {
	q.conn.Write(append(RowMessages(value), append(q.server.statusParameters(), ready()...)...))
}

// Fail answers with an error code.
func (q *Query) ReplyError(code string) {
	q.conn.Write(append(errorMessage("ERROR", code), append(q.server.statusParameters(), ready()...)...))
}

// Write sends raw bytes.
func (q *Query) Write(b []byte) { q.conn.Write(b) }

// Hangup closes the connection without an answer.
func (q *Query) CloseConn() { q.conn.Close() }

// Row is the whole of a served value but for ReadyForQuery.
func RowMessages(value []byte) []byte {
	desc := append([]byte{0, 1}, "content\x00"...)
	desc = append(desc, make([]byte, 16)...)
	desc = append(desc, 0, 1)
	b := frame('T', desc...)
	data := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	b = append(b, frame('D', append(data, value...)...)...)
	return append(b, frame('C', []byte("SELECT 1\x00")...)...)
}

func ready() []byte { return frame('Z', 'I') }

func parameter(name, value string) []byte { return frame('S', []byte(name+"\x00"+value+"\x00")...) }

func errorMessage(severity, code string) []byte {
	return frame('E', []byte("S"+severity+"\x00V"+severity+"\x00C"+code+"\x00Mrefused by the stand-in\x00\x00")...)
}

func frame(kind byte, body ...byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}
