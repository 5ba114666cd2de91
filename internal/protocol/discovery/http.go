// Package discovery holds the codecs of the discovery service: requests and answers of HTTP/1.1 as far as they are
// needed, and the member lists they carry. It works on bytes and states and owns no socket.
package discovery

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// The bounds of what is read from discovery.
const (
	maxHead = 16 << 10

	// MaxList bounds a list, and each line of one, in bytes.
	MaxListSize = 4 << 20
)

// StatusOK is the status of an answer that holds a list.
const StatusOK = 200

// Request writes a GET of the list. A watch asks for the changes after a version.
func Request(host string, watch bool, from int64) []byte {
	path, end := "/v1/servers", "Connection: close\r\n"
	if watch {
		path, end = fmt.Sprintf("/v1/servers?watch=1&from=%d", from), ""
	}
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n" + end + "\r\n")
}

// Response reads one HTTP answer as its bytes come in. Each line of its body is handed over without its end.
type Response struct {
	Status        int
	state         parseState
	line          []byte // the line of head or framing under way
	body          []byte // the line of the body under way
	remaining     int64  // bytes until the end of the chunk or of the body
	headSize      int
	contentLength int64 // Content-Length, or -1
	chunked       bool
}

type parseState uint8

const (
	inStatusLine parseState = iota
	inHeaders
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	inBody
	isDone
)

// NewResponse makes a reader of one answer.
func NewResponse() *Response { return &Response{contentLength: -1} }

// HeadDone tells whether status and headers have been read.
func (r *Response) HeadDone() bool { return r.state > inHeaders }

// Done tells whether the whole answer has been read.
func (r *Response) Done() bool { return r.state == isDone }

// Feed reads the next bytes and hands over each whole line of the body.
func (r *Response) Feed(data []byte, line func([]byte) error) error {
	for len(data) > 0 && r.state != isDone {
		switch r.state {
		case inChunkData, inBody:
			n := int64(len(data))
			if r.remaining >= 0 {
				n = min(n, r.remaining)
			}
			if err := r.feedBody(data[:n], line); err != nil {
				return err
			}
			data = data[n:]
			if r.remaining < 0 {
				continue
			}
			if r.remaining -= n; r.remaining == 0 {
				if r.state == inBody {
					return r.finish(line)
				}
				r.state = inChunkEnd
			}
		default:
			end := bytes.IndexByte(data, '\n')
			if end < 0 {
				return r.feedControl(data)
			}
			if err := r.feedControl(data[:end]); err != nil {
				return err
			}
			data = data[end+1:]
			text := strings.TrimSuffix(string(r.line), "\r")
			r.line = r.line[:0]
			if err := r.handleControlLine(text, line); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close tells that the connection has ended. An answer without a length is whole then, any other is not.
func (r *Response) Close(line func([]byte) error) error {
	switch {
	case r.state == isDone:
		return nil
	case r.state == inBody && r.remaining < 0:
		return r.finish(line)
	}
	return fmt.Errorf("the answer broke off")
}

// control takes bytes of a line of head or framing. Each byte counts once, in however many pieces the line comes.
func (r *Response) feedControl(p []byte) error {
	r.line = append(r.line, p...)
	if r.state <= inHeaders {
		r.headSize += len(p)
	}
	if r.headSize > maxHead || len(r.line) > maxHead {
		return fmt.Errorf("the answer's head is longer than %d bytes", maxHead)
	}
	return nil
}

// frame reads one line of head or framing.
func (r *Response) handleControlLine(text string, line func([]byte) error) error {
	switch r.state {
	case inStatusLine:
		version, afterVersion, _ := strings.Cut(text, " ")
		code, _, _ := strings.Cut(afterVersion, " ")
		status, err := strconv.Atoi(code)
		if !strings.HasPrefix(version, "HTTP/1.") || err != nil || status < 100 || status > 599 {
			return fmt.Errorf("%.40q is no status line", text)
		}
		r.Status, r.state = status, inHeaders
	case inHeaders:
		if text != "" {
			return r.parseHeader(text)
		}
		if r.Status < 200 { // an interim answer: the real one follows
			r.state = inStatusLine
			return nil
		}
		return r.beginBody(line)
	case inChunkSize:
		size, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return fmt.Errorf("%.40q is no chunk size", text)
		}
		if r.remaining, r.state = int64(n), inChunkData; n == 0 {
			r.state = inTrailer
		}
	case inChunkEnd:
		if text != "" {
			return fmt.Errorf("a chunk is longer than it said")
		}
		r.state = inChunkSize
	case inTrailer:
		if text == "" {
			return r.finish(line)
		}
	}
	return nil
}

func (r *Response) parseHeader(text string) error {
	name, value, ok := strings.Cut(text, ":")
	if !ok {
		return fmt.Errorf("%.40q is no header", text)
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return fmt.Errorf("%.40q is no content length", value)
		}
		r.contentLength = int64(n)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("transfer encoding %.40q is not known", value)
		}
		r.chunked = true
	}
	return nil
}

// begin goes from the head to the body.
func (r *Response) beginBody(line func([]byte) error) error {
	switch {
	case r.chunked:
		r.state = inChunkSize
	case r.contentLength == 0 || r.Status == 204 || r.Status == 304:
		return r.finish(line)
	default:
		r.state, r.remaining = inBody, r.contentLength
	}
	return nil
}

// text takes bytes of the body.
func (r *Response) feedBody(p []byte, line func([]byte) error) error {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			r.body = append(r.body, p...)
			break
		}
		complete := p[:end]
		if len(r.body) > 0 {
			r.body = append(r.body, complete...)
			complete = r.body
		}
		p = p[end+1:]
		err := line(bytes.TrimSuffix(complete, []byte("\r")))
		if r.body = r.body[:0]; err != nil {
			return err
		}
	}
	if len(r.body) > MaxListSize {
		return fmt.Errorf("a line of the list is longer than %d bytes", MaxListSize)
	}
	return nil
}

// finish ends the answer; a last line may lack its end.
func (r *Response) finish(line func([]byte) error) error {
	r.state = isDone
	if len(r.body) == 0 {
		return nil
	}
	last := r.body
	r.body = nil
	return line(last)
}
