package streams

import (
	"encoding/binary"
	"errors"
	"net"
	"time"

	"marblespan/internal/protocol/sealed"
	"marblespan/internal/transport"
)

// version is the version of the format of greetings and frames.
const version = 1

// greetingSize is the size in bytes of the greeting that the listener sends: the version and a random number for the stream.
const greetingSize = 1 + 16

// errInvalidFrame means that a frame is forged, out of order or malformed, that a hello is not addressed to this gateway, or that a
// greeting has another version.
var errInvalidFrame = errors.New("streams: invalid frame")

// purpose returns the context that is included in the signature of a stream's frames. It prevents the frames of one stream from being
// valid on another.
func purpose(deployment string, greeting []byte) string {
	return "marblespan streams\x00" + deployment + "\x00" + string(greeting)
}

func appendPingNumber(b []byte, n uint64) []byte { return binary.BigEndian.AppendUint64(b, n) }

func readPingNumber(b []byte) (uint64, bool) {
	if len(b) != 8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(b), true
}

// appendHello appends the body of a stream's first frame: the names of the sender and the receiver.
func appendHello(b []byte, from, to string) []byte {
	b = append(b, byte(len(from)))
	b = append(b, from...)
	return append(b, to...)
}

func readHello(b []byte) (from, to string, ok bool) {
	if len(b) == 0 || int(b[0]) > MaxNameLength || len(b) < 1+int(b[0]) {
		return "", "", false
	}
	from, to = string(b[1:1+b[0]]), string(b[1+b[0]:])
	return from, to, from != "" && len(to) <= MaxNameLength
}

// writer is the sending end of a stream. It is owned by the goroutine of its peer (peer.run).
type writer struct {
	streams  *Streams
	conn     *transport.Conn
	purpose  string
	sequence uint64
	buffer   []byte
}

// appendFrame appends a frame to the buffer: its length (4 bytes), channel, body and signed trailer.
func (w *writer) appendFrame(channel Channel, body []byte) {
	w.sequence++
	w.buffer = binary.BigEndian.AppendUint32(w.buffer, uint32(1+len(body)+sealed.Size))
	from := len(w.buffer)
	w.buffer = append(w.buffer, byte(channel))
	w.buffer = append(w.buffer, body...)
	w.buffer = sealed.Append(w.buffer, from, sealed.Trailer{Start: w.streams.settings.Start, Sequence: w.sequence}, w.purpose, (*w.streams.keys.Load())[0])
}

// flush writes the buffer to the socket.
func (w *writer) flush() error {
	n, err := w.conn.Write(time.Now().Add(writeTimeout), net.Buffers{w.buffer})
	w.streams.Counts.SentBytes.Add(n)
	w.buffer = w.buffer[:0]
	if cap(w.buffer) > maxBatchBytes { // do not keep the buffer of a large message
		w.buffer = nil
	}
	return err
}

// reader is the receiving end of a stream. It is owned by the goroutine that runs the method serve.
type reader struct {
	streams   *Streams
	conn      *transport.Conn
	purpose   string
	peerName  string
	peerStart uint64
	sequence  uint64
	buffer    []byte
	reserved  int
}

// next reads a frame and verifies its signature and sequence number. The returned body is valid until release is called.
func (r *reader) next(deadline time.Time) (Channel, []byte, error) {
	var head [4]byte
	if err := r.conn.ReadFull(head[:], deadline); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size < 1+sealed.Size || size > 1+MaxBody+sealed.Size {
		return 0, nil, errInvalidFrame
	}
	deadline = time.Now().Add(writeTimeout)
	for !r.streams.settings.Buffers.Reserve(size) { // memory becomes free when answers have been written, within milliseconds
		if time.Now().After(deadline) {
			return 0, nil, transport.ErrDeadline
		}
		time.Sleep(time.Millisecond)
	}
	r.reserved = size
	if cap(r.buffer) < size {
		r.buffer = make([]byte, size)
	}
	b := r.buffer[:size]
	if err := r.conn.ReadFull(b, deadline); err != nil {
		r.release()
		return 0, nil, err
	}
	trailer, fault := sealed.Parse(b, r.purpose, *r.streams.keys.Load())
	if fault != sealed.NoFault || trailer.Sequence != r.sequence+1 || r.sequence > 0 && trailer.Start != r.peerStart || b[0] >= byte(ChannelCount) {
		r.release()
		return 0, nil, errInvalidFrame
	}
	r.peerStart, r.sequence = trailer.Start, trailer.Sequence
	return Channel(b[0]), b[1 : size-sealed.Size], nil
}

// release returns the memory of the last frame to the budget.
func (r *reader) release() {
	r.streams.settings.Buffers.Release(r.reserved)
	r.reserved = 0
	if cap(r.buffer) > maxBatchBytes {
		r.buffer = nil
	}
}
