package fake

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Outcome is what became of one thing that a client meant to do, over all its tries.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota
	Failed           // it may have run; the gateway said so
	Unknown          // the connection ended without an answer; it may have run
	Rejected         // given up after refusals only: it has not run
	NumOutcomes
)

// OutcomeNames name the outcomes.
var OutcomeNames = [NumOutcomes]string{"served", "failed", "unknown", "refused"}

// Ledger keeps what clients meant and what became of it.
type Ledger struct {
	mu       sync.Mutex
	outcomes map[string]Outcome
	counts   [NumOutcomes]int
	tries    int // statements written
	refusals int // answered so
	noWay    int // connections that did not come up
	extra    int // answers that nobody asked for
	served   []ClientEvent
	doubts   []ClientEvent
}

// Mark is something that happened to a client, by way of a gateway.
type ClientEvent struct {
	At     time.Time
	Client string
	Via    string
	End    string // of a connection that ended without an answer: "closed", "reset" or "timeout"
}

// Totals are a ledger's sums.
type Totals struct {
	Counts                                                   [NumOutcomes]int
	Attempts, Rejections, FailedConnects, UnsolicitedAnswers int
}

// Totals sums up.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Totals{l.counts, l.tries, l.refusals, l.noWay, l.extra}
}

// Served lists when bookings were served, and Doubts when connections ended without an answer.
func (l *Ledger) Successes() []ClientEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ClientEvent(nil), l.served...)
}

// Doubts lists when connections ended without the answer to a booking.
func (l *Ledger) Unanswered() []ClientEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ClientEvent(nil), l.doubts...)
}

func (l *Ledger) note(meaning string, o Outcome, m ClientEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcomes == nil {
		l.outcomes = map[string]Outcome{}
	}
	l.outcomes[meaning] = o
	l.counts[o]++
	switch o {
	case Served:
		l.served = append(l.served, m)
	case Unknown:
		l.doubts = append(l.doubts, m)
	}
}

func (l *Ledger) add(n *int) {
	l.mu.Lock()
	*n++
	l.mu.Unlock()
}

var meant = regexp.MustCompile(`INSERT INTO kv \(name, content\) VALUES \('([^']*)'`)

// Check compares what clients were told with what servers ran: nothing more than once, what was served exactly once, what
// was refused never, and no answer that nobody asked for.
func (l *Ledger) Check(servers ...*Server) (runs int, faults []string) {
	ran := map[string]int{}
	for _, s := range servers {
		for _, sql := range s.Queries() {
			if m := meant.FindStringSubmatch(sql); m != nil {
				ran[m[1]]++
				runs++
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for meaning, n := range ran {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("%s ran %d times", meaning, n))
		}
		if o, ok := l.outcomes[meaning]; ok && o == Rejected {
			faults = append(faults, fmt.Sprintf("%s ran and was refused", meaning))
		}
	}
	for meaning, o := range l.outcomes {
		if o == Served && ran[meaning] != 1 {
			faults = append(faults, fmt.Sprintf("%s was served and ran %d times", meaning, ran[meaning]))
		}
	}
	if l.extra > 0 {
		faults = append(faults, fmt.Sprintf("%d answers that nobody asked for", l.extra))
	}
	return runs, faults
}

// Exchange is one request that a client wrote whole, and its end.
type Exchange struct {
	At        time.Time // just before it was written, or when its end was seen
	Client    string
	ID        string
	Class     string
	Key       string
	Via       string // as Booker.Via tells it, or else the address connected to
	Reused    bool   // the connection had served another request before
	Retry     bool   // it says that it was asked before
	End       string // empty at the beginning; "served", "refused", "failed", or how the connection ended without an answer
	Value     string // served
	ErrorText string // of an error: its code and message
}

// Booker is one client that books or reads, a thing at a time. It tries again after a refusal, and where nothing was written;
// what may have run it never sends again.
type Client struct {
	Name        string
	Addr        func() string             // where to connect now
	Route       func(local string) string // where a connection from there was led, if anybody is to know; may be nil
	Class       string
	Group       int
	Timeout     time.Duration // of one try
	MaxAttempts int
	Backoff     time.Duration // after a refusal or a connection that did not come up, half as much again at random
	Ledger      *Ledger
	OnExchange  func(Exchange) // is told of each request and of each end; may be nil
	// Again has it ask again, marked as asked before, what may have run: until it is served, its tries are over, or so many
	// times its patience.
	RetryTimeouts int

	conn   *net.TCPConn
	via    string
	end    string
	reused bool
}

var ids atomic.Int64

// Book does one thing that is meant and notes what became of it.
func (b *Client) Write(meaning string) Outcome {
	return b.do(meaning, fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x01') RETURNING content`, meaning))
}

// Read reads a key.
func (b *Client) Read(key string) Outcome {
	return b.do(key, fmt.Sprintf("SELECT content FROM kv WHERE name = '%s'", key))
}

func (b *Client) do(meaning, statement string) Outcome {
	o, marked, until := Rejected, false, time.Time{}
	for range b.MaxAttempts {
		again, out := b.try(meaning, statement, marked)
		if b.RetryTimeouts > 0 && (out == Unknown || out == Failed) {
			if !marked {
				marked, until = true, time.Now().Add(time.Duration(b.RetryTimeouts)*b.Timeout)
			}
			again = time.Now().Before(until)
		}
		if !marked || out != Rejected { // what may have run once is not refused by a later word
			o = out
		}
		if !again {
			break
		}
		time.Sleep(b.Backoff + time.Duration(rand.Int64N(int64(b.Backoff)/2+1)))
	}
	b.Ledger.note(meaning, o, ClientEvent{time.Now(), b.Name, b.via, b.end})
	return o
}

// Close hangs up.
func (b *Client) Close() {
	if b.conn != nil {
		b.conn.Close()
		b.conn = nil
	}
}

// try makes one try and tells whether another may follow.
func (b *Client) try(meaning, statement string, marked bool) (again bool, o Outcome) {
	if b.conn != nil && !quiet(b.conn) { // it was closed, or told to go, while idle
		b.Close()
	}
	if b.conn == nil && !b.connect() {
		b.Ledger.add(&b.Ledger.noWay)
		return true, Rejected
	}
	b.conn.SetDeadline(time.Now().Add(b.Timeout + b.Timeout/4))
	b.Ledger.add(&b.Ledger.tries)
	x := Exchange{
		At: time.Now(), Client: b.Name, ID: fmt.Sprint("b", ids.Add(1)), Class: b.Class, Key: meaning, Via: b.via, Reused: b.reused,
		Retry: marked,
	}
	mark := ""
	if marked {
		mark = ",r=1"
	}
	sql := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d%s */ %s\x00", x.ID, b.Class, b.Timeout.Milliseconds(), b.Group, mark, statement)
	if _, err := b.conn.Write(frame('Q', []byte(sql)...)); err != nil {
		b.Close()
		b.end = ending(err)
		return false, Unknown
	}
	b.reused = true
	b.tell(x)
	o = Unknown
	code := ""
	defer func() {
		switch x.At = time.Now(); {
		case o == Rejected:
			x.End = "refused"
		case code != "":
			x.End = "failed"
		case o == Served:
			x.End = "served"
		default:
			x.End = b.end
		}
		b.tell(x)
	}()
	for {
		kind, body, err := readFrame(b.conn)
		if err != nil {
			b.Close()
			b.end = ending(err)
			break
		}
		switch {
		case kind == 'E' && (code != "" || o == Served), kind == 'C' && o == Served:
			b.Ledger.add(&b.Ledger.extra)
		case kind == 'E':
			code = field(body, 'C')
			x.ErrorText = code + " " + field(body, 'M')
		case kind == 'C':
			o = Served
		case kind == 'D' && len(body) > 6:
			x.Value = string(body[6:])
		}
		if kind == 'Z' {
			break
		}
		if kind == 'E' && strings.HasPrefix(field(body, 'S'), "FATAL") {
			b.Close()
			break
		}
	}
	switch {
	case code == "53300", code == "57P03":
		b.Ledger.add(&b.Ledger.refusals)
		return true, Rejected
	case code != "":
		return false, Failed
	}
	return false, o
}

func (b *Client) tell(x Exchange) {
	if b.OnExchange != nil {
		b.OnExchange(x)
	}
}

// ending names how a connection ended.
func ending(err error) string {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	}
	return "reset"
}

func (b *Client) connect() bool {
	b.via, b.reused = b.Addr(), false
	c, err := net.DialTimeout("tcp", b.via, time.Second)
	if err != nil {
		return false
	}
	c.SetDeadline(time.Now().Add(time.Second))
	c.Write(hello())
	for {
		kind, _, err := readFrame(c)
		if err != nil || kind == 'E' {
			c.Close()
			return false
		}
		if kind == 'Z' {
			if b.Route != nil {
				b.via = b.Route(c.LocalAddr().String())
			}
			b.conn = c.(*net.TCPConn)
			return true
		}
	}
}

// quiet tells that the peer has neither closed nor said anything.
func quiet(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
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

func readFrame(r io.Reader) (byte, []byte, error) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > 1<<20 {
		return 0, nil, errors.New("a message of no sense")
	}
	body := make([]byte, n-4)
	_, err := io.ReadFull(r, body)
	return head[0], body, err
}

// field is a field of an ErrorResponse.
func field(body []byte, code byte) string {
	for _, part := range strings.Split(string(body), "\x00") {
		if part != "" && part[0] == code {
			return part[1:]
		}
	}
	return ""
}

// Serves asks a gateway an empty query, as a front does before it admits one, and tells whether it answers.
func Healthy(addr string, patience time.Duration) bool {
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	c.Write(append(hello(), frame('Q', 0)...))
	for {
		kind, _, err := readFrame(c)
		if err != nil || kind == 'E' {
			return false
		}
		if kind == 'I' {
			return true
		}
	}
}

// hello is a client's startup message.
func hello() []byte {
	b := append([]byte{0, 3, 0, 0}, "user\x00backend\x00database\x00store\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(4+len(b))), b...)
}
