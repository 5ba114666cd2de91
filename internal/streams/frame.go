package streams

import (
	"encoding/binary"
	"errors"
	"net"
	"time"

	"marblespan/internal/protocol/sealed"
	"marblespan/internal/transport"
)

// version is that of the streams' layout.
const version = 1

// greetingSize is the listener's first word in bytes: the version and a number drawn for this stream.
const greetingSize = 1 + 16

// errFrame is a frame that is not signed as it must be, or not understood.
var errInvalidFrame = errors.New("a frame that is not valid")

// purpose keeps what is signed for one stream from being valid on another.
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

// appendHello writes who speaks to whom.
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

// writer is the end of a stream that speaks.
type writer struct {
	streams  *Streams
	conn     *transport.Conn
	purpose  string
	sequence uint64
	buffer   []byte
}

// add writes a frame behind those that wait to go out.
func (w *writer) appendFrame(channel Channel, body []byte) {
	w.sequence++
	w.buffer = binary.BigEndian.AppendUint32(w.buffer, uint32(1+len(body)+sealed.Size))
	from := len(w.buffer)
	w.buffer = append(w.buffer, byte(channel))
	w.buffer = append(w.buffer, body...)
	w.buffer = sealed.Append(w.buffer, from, sealed.Trailer{Start: w.streams.settings.Start, Sequence: w.sequence}, w.purpose, (*w.streams.keys.Load())[0])
}

// flush hands what was added to the kernel.
func (w *writer) flush() error {
	n, err := w.conn.Write(time.Now().Add(writeTimeout), net.Buffers{w.buffer})
	w.streams.Counts.SentBytes.Add(n)
	w.buffer = w.buffer[:0]
	if cap(w.buffer) > maxBatchBytes { // a large message's room is not kept
		w.buffer = nil
	}
	return err
}

// reader is the end of a stream that listens.
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

// next reads a frame. Its body is valid until release.
func (r *reader) next(by time.Time) (Channel, []byte, error) {
	var head [4]byte
	if err := r.conn.ReadFull(head[:], by); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size < 1+sealed.Size || size > 1+MaxBody+sealed.Size {
		return 0, nil, errInvalidFrame
	}
	by = time.Now().Add(writeTimeout)
	for !r.streams.settings.Buffers.Reserve(size) { // what frees memory is an answer written, a matter of milliseconds
		if time.Now().After(by) {
			return 0, nil, transport.ErrDeadline
		}
		time.Sleep(time.Millisecond)
	}
	r.reserved = size
	if cap(r.buffer) < size {
		r.buffer = make([]byte, size)
	}
	b := r.buffer[:size]
	if err := r.conn.ReadFull(b, by); err != nil {
		r.release()
		return 0, nil, err
	}
	t, verdict := sealed.Parse(b, r.purpose, *r.streams.keys.Load())
	if verdict != sealed.NoFault || t.Sequence != r.sequence+1 || r.sequence > 0 && t.Start != r.peerStart || b[0] >= byte(ChannelCount) {
		r.release()
		return 0, nil, errInvalidFrame
	}
	r.peerStart, r.sequence = t.Start, t.Sequence
	return Channel(b[0]), b[1 : size-sealed.Size], nil
}

// release gives back what a frame held.
func (r *reader) release() {
	r.streams.settings.Buffers.Release(r.reserved)
	r.reserved = 0
	if cap(r.buffer) > maxBatchBytes {
		r.buffer = nil
	}
}
