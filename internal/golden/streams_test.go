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

// greeting is what a listener sends first: the version of the protocol, and 16 random bytes that the signature of every frame on the
// stream covers.
const greeting = "\x01sixteen numbers!"

// fixedRandom replaces the system's random source, so that the random bytes in a listener's greeting are always the same.
type fixedRandom struct{}

func (fixedRandom) Read(b []byte) (int, error) { return copy(b, greeting[1:]), nil }

// readFrame reads a complete frame, including its length.
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

// next returns the next value from a channel.
func next[T any](t *testing.T, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(20 * time.Second):
		t.Fatal("nothing was received within 20 s")
	}
	return value
}

// peerFrame returns a frame of gateway b, composed here without package streams: size, channel, body, trailer and signature.
func peerFrame(sequence uint64, channel byte, body string) []byte {
	signed := sealed.Append(append([]byte{channel}, body...), 0, sealed.Trailer{Start: 7, Sequence: sequence}, "marblespan streams\x00golden\x00"+greeting, key)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(signed))), signed...)
}

// The test plays gateway b in an exchange with gateway a. Frames of every kind are sent in both directions.
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
	received := make(chan string, 1000)
	a, err := streams.Listen("127.0.0.1:0", streams.Settings{
		Node: "a", Deployment: "golden", Start: 5, Keys: []sealed.Key{key}, Buffers: transport.NewBuffers(16 << 20), Descriptors: transport.NewDescriptors(256),
		AddressOf: func(string) (string, bool) { return peer.Addr().String(), true },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	a.Handle(streams.StateStore, func(from string, body []byte) { received <- from + ": " + string(body) })

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
	pingResult := make(chan error, 1)
	go func() { _, err := a.Ping("b", deadline); pingResult <- err }()
	golden(t, "streams/sent-echo", readFrame(t, out))

	// From b to a.
	number := func(n uint64) string { return string(binary.BigEndian.AppendUint64(nil, n)) }
	hello := golden(t, "streams/received-hello", peerFrame(1, 0, "\x01ba"))
	stateStoreFrame := golden(t, "streams/received-copies", peerFrame(2, 3, "what b says"))
	echoed := golden(t, "streams/received-echoed", peerFrame(3, 2, number(1)))
	echo := golden(t, "streams/received-echo", peerFrame(4, 1, number(9)))
	// dial opens a stream to a and sends frames as b.
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
	in := dial(hello, stateStoreFrame, echoed, echo)
	defer in.Close()
	if got := next(t, received); got != "b: what b says" {
		t.Errorf("received %q", got)
	}
	if err := next(t, pingResult); err != nil {
		t.Errorf("the ping of b failed: %v", err)
	}
	golden(t, "streams/sent-echoed", readFrame(t, out))

	// A frame that was changed in transit is rejected and ends the stream.
	rejectsFlips(t, stateStoreFrame, func(frame []byte) bool {
		conn := dial(hello, frame)
		defer conn.Close()
		conn.CloseWrite()
		io.Copy(io.Discard, conn) // returns when a has closed the stream
		select {
		case <-received:
			return true
		default:
			return false
		}
	})
}
