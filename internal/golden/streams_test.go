package golden

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"marblespan/internal/protocol/sealed"
	"marblespan/internal/streams"
	"marblespan/internal/transport"
)

// greeting is a listener's first word: the version of the streams and a number that binds the stream.
const greeting = "\x01sixteen numbers!"

// fixedRandom stands in for the system's random bytes: a listener draws its number from it.
type fixedRandom struct{}

func (fixedRandom) Read(b []byte) (int, error) { return copy(b, greeting[1:]), nil }

// readFrame reads a whole frame as it is on the wire.
func readFrame(t *testing.T, from io.Reader) []byte {
	t.Helper()
	frame := make([]byte, 4)
	if _, err := io.ReadFull(from, frame); err != nil {
		t.Fatal(err)
	}
	frame = append(frame, make([]byte, binary.BigEndian.Uint32(frame))...)
	if _, err := io.ReadFull(from, frame[4:]); err != nil {
		t.Fatal(err)
	}
	return frame
}

// next is what comes next on a channel.
func next[T any](t *testing.T, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came within 20 s")
	}
	return value
}

// peerFrame is a frame of gateway b, written out here: size, channel, body, trailer and signature.
func peerFrame(sequence uint64, channel byte, body string) []byte {
	signed := sealed.Append(append([]byte{channel}, body...), 0, sealed.Trailer{Start: 7, Sequence: sequence}, "marblespan streams\x00golden\x00"+greeting, key)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(signed))), signed...)
}

// Gateway a has a conversation with gateway b, which this test plays: every kind of frame goes each way.
func TestStreamFrames(t *testing.T) {
	system := rand.Reader
	rand.Reader = fixedRandom{}
	defer func() { rand.Reader = system }()
	deadline := time.Now().Add(20 * time.Second)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	heard := make(chan string, 1000)
	a, err := streams.Listen("127.0.0.1:0", streams.Settings{
		Node: "a", Deployment: "golden", Start: 5, Keys: []sealed.Key{key}, Buffers: transport.NewBuffers(16 << 20), Descriptors: transport.NewDescriptors(256),
		AddressOf: func(string) (string, bool) { return peer.Addr().String(), true },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	a.Handle(streams.StateStore, func(from string, body []byte) { heard <- from + ": " + string(body) })

	// From a to b.
	if err := a.Send(streams.Message{To: "b", Channel: streams.StateStore, Body: []byte("what a says")}); err != nil {
		t.Fatal(err)
	}
	out, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	out.SetDeadline(deadline)
	io.WriteString(out, greeting)
	golden(t, "streams/sent-hello", readFrame(t, out))
	golden(t, "streams/sent-copies", readFrame(t, out))
	reached := make(chan error, 1)
	go func() { _, err := a.Ping("b", deadline); reached <- err }()
	golden(t, "streams/sent-echo", readFrame(t, out))

	// From b to a.
	number := func(n uint64) string { return string(binary.BigEndian.AppendUint64(nil, n)) }
	hello := golden(t, "streams/received-hello", peerFrame(1, 0, "\x01ba"))
	said := golden(t, "streams/received-copies", peerFrame(2, 3, "what b says"))
	echoed := golden(t, "streams/received-echoed", peerFrame(3, 2, number(1)))
	echo := golden(t, "streams/received-echo", peerFrame(4, 1, number(9)))
	// dial opens a stream to a and writes frames of b.
	dial := func(frames ...[]byte) *net.TCPConn {
		conn, err := net.Dial("tcp", a.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(deadline)
		first := make([]byte, len(greeting))
		if _, err := io.ReadFull(conn, first); err != nil || string(first) != greeting {
			t.Fatalf("greeted with %q, %v", first, err)
		}
		for _, frame := range frames {
			conn.Write(frame)
		}
		return conn.(*net.TCPConn)
	}
	in := dial(hello, said, echoed, echo)
	defer in.Close()
	if got := next(t, heard); got != "b: what b says" {
		t.Errorf("heard %q", got)
	}
	if err := next(t, reached); err != nil {
		t.Errorf("the echo came back as %v", err)
	}
	golden(t, "streams/sent-echoed", readFrame(t, out))

	// A frame that has changed on its way is not taken, and ends the stream.
	rejectsFlips(t, said, func(frame []byte) bool {
		conn := dial(hello, frame)
		defer conn.Close()
		conn.CloseWrite()
		io.Copy(io.Discard, conn) // until a has closed it
		select {
		case <-heard:
			return true
		default:
			return false
		}
	})
}
