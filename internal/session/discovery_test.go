package session

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/routing"
	"marblespan/internal/transport"
)

// scriptedDiscovery is a discovery service whose answers the test writes itself, byte by byte.
type scriptedDiscovery struct {
	t        *testing.T
	listener net.Listener
	updates  chan routing.Event
	client   *Discovery
}

// scriptedCall is one call whose request has been read.
type scriptedCall struct {
	net.Conn
	path string
}

func newScriptedDiscovery(t *testing.T, limits CallTimeouts) *scriptedDiscovery {
	t.Helper()
	s := &scriptedDiscovery{t: t, listener: listenLoopback(t), updates: make(chan routing.Event, 64)}
	s.client = &Discovery{
		Addr: s.listener.Addr().String(), Owner: poster(s.updates), Buffers: transport.NewBuffers(1 << 24),
		Fds: transport.NewDescriptors(1024), Ends: transport.NewEndRecorder(zerolog.Nop()), Limits: limits,
	}
	t.Cleanup(s.client.Close)
	return s
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// nextCall accepts the next call.
func (s *scriptedDiscovery) nextCall() *scriptedCall { return acceptCall(s.t, s.listener) }

func acceptCall(t *testing.T, l net.Listener) *scriptedCall {
	t.Helper()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	r := bufio.NewReader(nc)
	first, err := r.ReadString('\n')
	for line := first; err == nil && strings.TrimSpace(line) != ""; {
		line, err = r.ReadString('\n')
	}
	if err != nil {
		t.Fatal(err)
	}
	return &scriptedCall{nc, strings.Fields(first)[1]}
}

// writeBytewise writes one byte at a time, so that the result does not depend on how the text is split into packets.
func (c *scriptedCall) writeBytewise(text string) {
	for i := range len(text) {
		c.Write([]byte{text[i]})
	}
}

// reset resets the connection.
func (c *scriptedCall) reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// nextUpdate returns the next update posted to the owner.
func (s *scriptedDiscovery) nextUpdate() routing.EndpointListUpdate {
	s.t.Helper()
	select {
	case ev := <-s.updates:
		return ev.(routing.EndpointListUpdate)
	case <-time.After(testTimeout):
		s.t.Fatal("no update was posted")
		return routing.EndpointListUpdate{}
	}
}

func (s *scriptedDiscovery) wantList(rev int64) {
	s.t.Helper()
	if n := s.nextUpdate(); n.Failed || n.List.Rev != rev {
		s.t.Fatalf("posted %+v, want revision %d", n, rev)
	}
}

func (s *scriptedDiscovery) wantFailure() {
	s.t.Helper()
	if n := s.nextUpdate(); !n.Failed {
		s.t.Fatalf("posted %+v, want a failure", n)
	}
}

const (
	headOpen   = "HTTP/1.1 200 OK\r\n\r\n" // without a length: the body ends when the connection is closed
	oneServer  = `{"rev":41,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:5433","pod_group":3,"state":"ready"}]}`
	oneDrained = `{"rev":42,"all":false,"targets":[{"uid":"a","endpoint":"127.0.0.1:5433","pod_group":3,"state":"draining"}]}` + "\n"
	indented   = "{\n  \"rev\": 42,\n  \"all\": false,\n  \"targets\": [\n    {\n      \"uid\": \"a\",\n" +
		"      \"endpoint\": \"127.0.0.1:5433\",\n      \"pod_group\": 3,\n      \"state\": \"draining\"\n    }\n  ]\n}\n"
)

// longTimeouts are limits that only a failing test reaches.
var longTimeouts = CallTimeouts{Connect: testTimeout, Answer: testTimeout, Silence: testTimeout}

// A change may be on one line or, indented, on several lines, with empty lines between changes and in any split into packets.
func TestWatchReadsIndentedChanges(t *testing.T) {
	s := newScriptedDiscovery(t, longTimeouts)
	s.client.Watch(40)
	c := s.nextCall()
	c.writeBytewise(headOpen + "\r\n")
	s.wantList(40) // the empty line means that nothing has changed since
	c.writeBytewise(oneServer + "\n  \n" + indented + "\n")
	s.wantList(41)
	s.wantList(42)
	c.writeBytewise("{\"rev\": 43,\n\"targets\": ]\n")
	s.wantFailure()
}

// A reset does not complete an answer, even if the answer has no length and the received part can be parsed.
func TestResetDoesNotCompleteAList(t *testing.T) {
	s := newScriptedDiscovery(t, longTimeouts)
	s.client.Fetch()
	c := s.nextCall()
	c.Write([]byte(headOpen + oneServer))
	c.reset()
	s.wantFailure()
	s.client.Fetch()
	c = s.nextCall()
	c.writeBytewise(headOpen + oneServer)
	c.Close()
	s.wantList(41)
}

// A truncated answer fails the fetch, whichever way the answer specifies its length.
func TestListCutInTheMiddle(t *testing.T) {
	for _, head := range []string{
		headOpen, "HTTP/1.1 200 OK\r\nContent-Length: 106\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6a\r\n",
	} {
		s := newScriptedDiscovery(t, longTimeouts)
		s.client.Fetch()
		c := s.nextCall()
		c.writeBytewise(head + oneServer[:50])
		c.Close()
		s.wantFailure()
	}
}

// A watch fails if its first line does not arrive in time, even if its header and some bytes have arrived: if each piece extended
// the deadline, the watch would never end. The same applies to a later line.
func TestSlowWatchHasFailed(t *testing.T) {
	short := CallTimeouts{Connect: testTimeout, Answer: 150 * time.Millisecond, Silence: 150 * time.Millisecond}
	for _, before := range []string{"", oneServer + "\n"} {
		s := newScriptedDiscovery(t, short)
		s.client.Watch(40)
		c := s.nextCall()
		c.Write([]byte(headOpen + before))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for { // an endless line
				if _, err := c.Write([]byte(" ")); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		if before != "" {
			s.wantList(41)
		}
		s.wantFailure()
		<-ended
	}
}

// The deadline of a fetch applies to the complete list, and is not extended by each piece.
func TestSlowListHasFailed(t *testing.T) {
	s := newScriptedDiscovery(t, CallTimeouts{Connect: testTimeout, Answer: 150 * time.Millisecond, Silence: testTimeout})
	s.client.Fetch()
	c := s.nextCall()
	go func() {
		for text := headOpen + oneServer; ; {
			if _, err := c.Write([]byte(text[:1])); err != nil {
				return
			}
			if text = text[1:]; text == "" {
				text = "\n"
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	s.wantFailure()
}

// While calls to a new address fail, the watch at the previous address continues. Its lists are posted, but the router would take
// them for lists of a working watch and would not retry the new address, so the failure is posted again after each of them.
func TestListFromThePreviousAddressDoesNotHideAFailure(t *testing.T) {
	s := newScriptedDiscovery(t, longTimeouts)
	s.client.Watch(40)
	previous := s.nextCall()
	previous.writeBytewise(headOpen + oneServer + "\n")
	s.wantList(41)
	newAddress := listenLoopback(t)
	s.client.SetAddress(newAddress.Addr().String())
	acceptCall(t, newAddress).reset()
	s.wantFailure()
	previous.writeBytewise(oneDrained)
	s.wantList(42)
	s.wantFailure()
	s.client.Watch(42)
	c := acceptCall(t, newAddress)
	if c.path != "/v1/servers" {
		t.Errorf("the first request to the new address was for %s", c.path)
	}
	c.writeBytewise(headOpen + oneServer)
	c.Close()
	s.wantList(41)
	if _, err := previous.Read(make([]byte, 1)); err == nil {
		t.Error("the watch at the previous address continues")
	}
}

// If a new watch sends its list before the previous watch has ended, only the new watch remains, and no failure is posted.
func TestNewWatchBeforeTheOldOneEnds(t *testing.T) {
	s := newScriptedDiscovery(t, longTimeouts)
	s.client.Watch(40)
	first := s.nextCall()
	first.writeBytewise(headOpen + oneServer + "\n")
	s.wantList(41)
	s.client.Watch(41)
	second := s.nextCall()
	second.writeBytewise(headOpen + oneDrained)
	s.wantList(42)
	first.writeBytewise("{\"rev\":99}\n")
	second.writeBytewise("{\"rev\":43}\n")
	s.wantList(43)
}

// An address that is set during a call is called at once, and lists that then arrive from the previous address are not posted.
func TestSetAddressDuringACall(t *testing.T) {
	s := newScriptedDiscovery(t, longTimeouts)
	s.client.Watch(40)
	previous := s.nextCall() // nothing has been answered yet
	moved := listenLoopback(t)
	s.client.SetAddress(moved.Addr().String())
	c := acceptCall(t, moved)
	c.writeBytewise(headOpen + oneServer)
	c.Close()
	s.wantList(41)
	previous.writeBytewise(headOpen + "{\"rev\":99}\n")
	watch := acceptCall(t, moved)
	if watch.path != "/v1/servers?watch=1&from=41" {
		t.Errorf("the watch requested %s", watch.path)
	}
	watch.writeBytewise(headOpen + oneDrained)
	s.wantList(42)
}
