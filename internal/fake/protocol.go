package fake

import (
	"encoding/binary"
	"errors"
	"io"
	"strings"
)

// maxMessage bounds the length field of a message that a client reads, in bytes.
const maxMessage = 1 << 20

// frame encodes one message of the database protocol.
func frame(kind byte, body ...byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

// readFrame reads one message from a server.
func readFrame(r io.Reader) (kind byte, body []byte, err error) {
	header := make([]byte, 5)
	if _, err := io.ReadFull(r, header); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length < 4 || length > maxMessage {
		return 0, nil, errors.New("fake: the length of a message is out of range")
	}
	body = make([]byte, length-4)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// errorField returns a field of an ErrorResponse, or "" if it is missing.
func errorField(body []byte, code byte) string {
	for part := range strings.SplitSeq(string(body), "\x00") {
		if part != "" && part[0] == code {
			return part[1:]
		}
	}
	return ""
}

// startupMessage encodes the StartupMessage of a client.
func startupMessage() []byte {
	b := append([]byte{0, 3, 0, 0}, "user\x00backend\x00database\x00store\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(4+len(b))), b...)
}

// RowMessages encodes the answer to a query with one row of one column, without the final ReadyForQuery.
func RowMessages(value []byte) []byte {
	description := append([]byte{0, 1}, "content\x00"...)
	description = append(description, make([]byte, 16)...)
	description = append(description, 0, 1)
	messages := frame('T', description...)
	data := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	messages = append(messages, frame('D', append(data, value...)...)...)
	return append(messages, frame('C', []byte("SELECT 1\x00")...)...)
}

func readyForQuery() []byte { return frame('Z', 'I') }

func parameterStatus(name, value string) []byte {
	return frame('S', []byte(name+"\x00"+value+"\x00")...)
}

func errorResponse(severity, code string) []byte {
	return frame('E', []byte("S"+severity+"\x00V"+severity+"\x00C"+code+"\x00Mrefused by the stand-in\x00\x00")...)
}
