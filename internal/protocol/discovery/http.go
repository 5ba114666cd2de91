// Package discovery holds the codecs of the discovery service: its HTTP/1.1 requests (Request) and responses (Response), as
// far as they are needed, the JSON values of a watch (Objects), and the server lists in them (ParseList). It works on bytes
// and owns no socket and no goroutine; package session calls it and owns the state of each response.
//
// The main decisions are in Response.Feed, which follows the framing of a body by its length, by chunks or until the
// connection closes, and in ParseList, which rejects a complete list for one invalid entry.
package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The bounds of a response of discovery.
const (
	maxHead = 16 << 10 // bytes of status line and headers together, and of each line of framing

	// MaxListSize bounds a list, and each line of one, in bytes.
	MaxListSize = 4 << 20
)

// StatusOK is the status of a response that contains a list.
const StatusOK = 200

// The statuses of responses without a body, and the first that is not interim.
const (
	statusFinal       = 200
	statusNoContent   = 204
	statusNotModified = 304
)

// Request returns a GET of the list. With watch it requests the changes after the revision from, and the response stays open.
func Request(host string, watch bool, from int64) []byte {
	path, end := "/v1/servers", "Connection: close\r\n"
	if watch {
		path, end = fmt.Sprintf("/v1/servers?watch=1&from=%d", from), ""
	}
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n" + end + "\r\n")
}

// Response parses one HTTP response as its bytes arrive. Each line of the body is passed to a function, without its line end;
// the line is valid only during that call. One goroutine owns a Response.
type Response struct {
	Status        int
	state         parseState
	line          []byte // the incomplete line of head or framing
	body          []byte // the incomplete line of the body
	remaining     int64  // bytes until the end of the chunk or of the body; -1 if the body ends with the connection
	headSize      int
	contentLength int64 // Content-Length, or -1
	chunked       bool
}

// parseState is what the next byte belongs to.
type parseState uint8

const (
	inStatusLine parseState = iota
	inHeaders
	inChunkSize // the line before a chunk
	inChunkData
	inChunkEnd // the line end after a chunk
	inTrailer
	inBody // a body without chunks
	isDone
)

// NewResponse returns a parser of one response.
func NewResponse() *Response { return &Response{contentLength: -1} }

// HeadDone reports whether status and headers have been read.
func (r *Response) HeadDone() bool { return r.state > inHeaders }

// Done reports whether the complete response has been read.
func (r *Response) Done() bool { return r.state == isDone }

// Feed parses the next bytes and calls line for each complete line of the body. An error of line ends it and is returned.
// Bytes after the response are ignored.
func (r *Response) Feed(data []byte, line func([]byte) error) error {
	for len(data) > 0 && r.state != isDone {
		var err error
		if r.state == inChunkData || r.state == inBody {
			data, err = r.feedData(data, line)
		} else {
			data, err = r.feedControl(data, line)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// feedData takes bytes of a chunk or of a body without chunks, up to its end, and returns the rest.
func (r *Response) feedData(data []byte, line func([]byte) error) ([]byte, error) {
	n := int64(len(data))
	if r.remaining >= 0 {
		n = min(n, r.remaining)
	}
	if err := r.feedBody(data[:n], line); err != nil {
		return nil, err
	}
	data = data[n:]
	if r.remaining < 0 {
		return data, nil
	}
	r.remaining -= n
	switch {
	case r.remaining > 0:
		return data, nil
	case r.state == inBody:
		return data, r.finish(line)
	}
	r.state = inChunkEnd
	return data, nil
}

// feedControl takes bytes of head or framing, up to the end of the line, and returns the rest.
func (r *Response) feedControl(data []byte, line func([]byte) error) ([]byte, error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return nil, r.appendControl(data)
	}
	if err := r.appendControl(data[:end]); err != nil {
		return nil, err
	}
	text := strings.TrimSuffix(string(r.line), "\r")
	r.line = r.line[:0]
	return data[end+1:], r.handleControlLine(text, line)
}

// Close is called when the connection has ended. A response without a length is complete then; any other is an error.
func (r *Response) Close(line func([]byte) error) error {
	switch {
	case r.state == isDone:
		return nil
	case r.state == inBody && r.remaining < 0:
		return r.finish(line)
	}
	return errors.New("the answer broke off")
}

// appendControl adds bytes to the line of head or framing. Each byte counts once towards maxHead, however the line is split.
func (r *Response) appendControl(p []byte) error {
	r.line = append(r.line, p...)
	if r.state <= inHeaders {
		r.headSize += len(p)
	}
	if r.headSize > maxHead || len(r.line) > maxHead {
		return fmt.Errorf("the answer's head is longer than %d bytes", maxHead)
	}
	return nil
}

// handleControlLine parses one line of head or framing.
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
		if r.Status < statusFinal { // an interim response: the final one follows
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
			return errors.New("a chunk is longer than it said")
		}
		r.state = inChunkSize
	case inTrailer:
		if text == "" {
			return r.finish(line)
		}
	}
	return nil
}

// parseHeader takes the headers that tell how the body is framed, and ignores all others.
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

// beginBody goes from the head to the body.
func (r *Response) beginBody(line func([]byte) error) error {
	switch {
	case r.chunked:
		r.state = inChunkSize
	case r.contentLength == 0 || r.Status == statusNoContent || r.Status == statusNotModified:
		return r.finish(line)
	default:
		r.state, r.remaining = inBody, r.contentLength
	}
	return nil
}

// feedBody takes bytes of the body and calls line for each complete line.
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

// finish ends the response; the last line may lack its line end.
func (r *Response) finish(line func([]byte) error) error {
	r.state = isDone
	if len(r.body) == 0 {
		return nil
	}
	last := r.body
	r.body = nil
	return line(last)
}
