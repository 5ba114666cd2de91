package fake

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Exchange is one request that a client wrote completely, or the end of such a request.
type Exchange struct {
	At        time.Time // time just before the request was written, or time at which its end was detected
	Client    string
	ID        string
	Class     string
	Key       string
	Via       string // what Client.Route returned; if Route is nil, the address that the client connected to
	Reused    bool   // the connection had carried another request before
	Retry     bool   // the request is marked as a retry of one that may have run
	End       string // empty for a request; "served", "refused", "failed", or how the connection ended without an answer
	Value     string // the value that was served
	ErrorText string // code and message of an error
}

// Client writes and reads keys, one operation at a time, and records the outcomes in a Ledger. It makes another attempt after
// a rejection, or if it could not connect. It retries a statement that may have run only if RetryTimeouts is set. Only one
// goroutine at a time may use a client.
type Client struct {
	Name        string
	Addr        func() string             // returns the address to connect to
	Route       func(local string) string // returns the gateway that a connection from a local address was forwarded to; may be nil
	Class       string
	Group       int
	Timeout     time.Duration // timeout of one attempt
	MaxAttempts int
	Backoff     time.Duration // pause before the next attempt; up to half of it is added at random
	Ledger      *Ledger
	OnExchange  func(Exchange) // is called for each request and for each end; may be nil
	// RetryTimeouts, if above 0, makes the client retry a statement that may have run. The client retries it for the time
	// RetryTimeouts * Timeout, and marks these requests as retries.
	RetryTimeouts int

	conn   *net.TCPConn
	via    string // gateway of the current or last connection
	end    string // how the last connection without an answer ended
	reused bool   // the connection has carried a request
}

var lastRequestID atomic.Int64

// Write inserts a key, which must be unique, and records the outcome.
func (c *Client) Write(key string) Outcome {
	return c.run(key, fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x01') RETURNING content`, key))
}

// Read reads a key and records the outcome.
func (c *Client) Read(key string) Outcome {
	return c.run(key, fmt.Sprintf("SELECT content FROM kv WHERE name = '%s'", key))
}

// Close closes the connection, if there is one. The next operation opens another.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// run makes attempts until one of them is final or no further attempt is allowed, and records the outcome.
func (c *Client) run(key, statement string) Outcome {
	outcome, retry, retryUntil := Rejected, false, time.Time{}
	for range c.MaxAttempts {
		again, result := c.attempt(key, statement, retry)
		if c.RetryTimeouts > 0 && (result == Unknown || result == Failed) {
			if !retry {
				retry, retryUntil = true, time.Now().Add(time.Duration(c.RetryTimeouts)*c.Timeout)
			}
			again = time.Now().Before(retryUntil)
		}
		if !retry || result != Rejected { // a later rejection does not mean that an earlier attempt has not run
			outcome = result
		}
		if !again {
			break
		}
		time.Sleep(c.Backoff + time.Duration(rand.Int64N(int64(c.Backoff)/2+1)))
	}
	c.Ledger.record(key, outcome, ClientEvent{time.Now(), c.Name, c.via, c.end})
	return outcome
}

// attempt sends a statement once and reports whether another attempt may follow.
func (c *Client) attempt(key, statement string, retry bool) (again bool, outcome Outcome) {
	if c.conn != nil && !idle(c.conn) { // the gateway has closed the connection, or has announced the close
		c.Close()
	}
	if c.conn == nil && !c.connect() {
		c.Ledger.increment(&c.Ledger.totals.FailedConnects)
		return true, Rejected
	}
	c.conn.SetDeadline(time.Now().Add(c.Timeout + c.Timeout/4))
	c.Ledger.increment(&c.Ledger.totals.Attempts)
	exchange := Exchange{
		At: time.Now(), Client: c.Name, ID: fmt.Sprint("b", lastRequestID.Add(1)), Class: c.Class, Key: key, Via: c.via, Reused: c.reused,
		Retry: retry,
	}
	if _, err := c.conn.Write(frame('Q', []byte(c.query(exchange, statement))...)); err != nil {
		c.connectionEnded(err)
		return false, Unknown
	}
	c.reused = true
	c.notify(exchange)
	again, outcome = c.readAnswer(&exchange)
	exchange.At = time.Now()
	exchange.End = OutcomeNames[outcome]
	if outcome == Unknown {
		exchange.End = c.end
	}
	c.notify(exchange)
	return again, outcome
}

// query returns the text of a Query message: a comment with the request's options, followed by the statement.
func (c *Client) query(exchange Exchange, statement string) string {
	retryOption := ""
	if exchange.Retry {
		retryOption = ",r=1"
	}
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d%s */ %s\x00",
		exchange.ID, c.Class, c.Timeout.Milliseconds(), c.Group, retryOption, statement)
}

// readAnswer reads up to the end of an answer or of the connection, and stores the value or the error in the exchange.
func (c *Client) readAnswer(exchange *Exchange) (again bool, outcome Outcome) {
	outcome = Unknown
	code := ""
	for {
		kind, body, err := readFrame(c.conn)
		if err != nil {
			c.connectionEnded(err)
			break
		}
		switch {
		case kind == 'E' && (code != "" || outcome == Served), kind == 'C' && outcome == Served:
			c.Ledger.increment(&c.Ledger.totals.UnsolicitedAnswers)
		case kind == 'E':
			code = errorField(body, 'C')
			exchange.ErrorText = code + " " + errorField(body, 'M')
		case kind == 'C':
			outcome = Served
		case kind == 'D' && len(body) > 6:
			exchange.Value = string(body[6:])
		}
		if kind == 'Z' {
			break
		}
		if kind == 'E' && strings.HasPrefix(errorField(body, 'S'), "FATAL") {
			c.Close()
			break
		}
	}
	switch {
	case code == "53300", code == "57P03":
		c.Ledger.increment(&c.Ledger.totals.Rejections)
		return true, Rejected
	case code != "":
		return false, Failed
	}
	return false, outcome
}

func (c *Client) notify(exchange Exchange) {
	if c.OnExchange != nil {
		c.OnExchange(exchange)
	}
}

// connectionEnded closes the connection after an error and stores in c.end how it ended.
func (c *Client) connectionEnded(err error) {
	c.Close()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.end = "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.end = "closed"
	default:
		c.end = "reset"
	}
}

// connect opens a connection and waits until the gateway is ready for queries. It reports whether that succeeded.
func (c *Client) connect() bool {
	c.via, c.reused = c.Addr(), false
	conn, err := net.DialTimeout("tcp", c.via, time.Second)
	if err != nil {
		return false
	}
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write(startupMessage())
	for {
		kind, _, err := readFrame(conn)
		if err != nil || kind == 'E' {
			conn.Close()
			return false
		}
		if kind == 'Z' {
			if c.Route != nil {
				c.via = c.Route(conn.LocalAddr().String())
			}
			c.conn = conn.(*net.TCPConn)
			return true
		}
	}
}

// idle reports whether the connection is still open and has no unread data.
func idle(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	ok := false
	raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = err == syscall.EAGAIN
	})
	return ok
}

// Healthy sends an empty query to a gateway, as a load balancer's health check does, and reports whether it answers in time.
func Healthy(addr string, timeout time.Duration) bool {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	conn.Write(append(startupMessage(), frame('Q', 0)...))
	for {
		kind, _, err := readFrame(conn)
		if err != nil || kind == 'E' {
			return false
		}
		if kind == 'I' {
			return true
		}
	}
}
