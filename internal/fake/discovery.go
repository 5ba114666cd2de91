package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
)

// Endpoint is one entry of the endpoint list, as the discovery service encodes it.
type Endpoint struct {
	UID    string  `json:"uid"`
	Addr   string  `json:"endpoint"`
	Zone   string  `json:"az"`
	Model  string  `json:"model"`
	Group  int     `json:"pod_group"`
	State  string  `json:"state"`
	Weight float64 `json:"capacity_hint"`
	BootMS int64   `json:"boot_ms"`
	Role   string  `json:"role,omitempty"`
}

// Discovery is the discovery service. It answers every watch with the complete endpoint list, followed by the changes that Push
// sends.
type Discovery struct {
	mu          sync.Mutex
	listener    net.Listener
	revision    int
	endpoints   []Endpoint
	rawResponse string            // a complete response to send instead of the list; "silent" for none at all
	conns       map[net.Conn]bool // every open connection; true if it is a watch
	goroutines  sync.WaitGroup
	Requests    chan string // receives the request line of each request
}

// NewDiscovery starts a discovery service on loopback.
func NewDiscovery(endpoints ...Endpoint) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		listener: l, revision: 1, endpoints: endpoints, conns: map[net.Conn]bool{}, Requests: make(chan string, 4096),
	}
	d.goroutines.Go(d.accept)
	return d, nil
}

// Addr returns the address that the service listens on.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// SetRawResponse makes the service answer later requests with these bytes. An empty string restores the endpoint list, and
// "silent" means that the service does not answer.
func (d *Discovery) SetRawResponse(raw string) {
	d.mu.Lock()
	d.rawResponse = raw
	d.mu.Unlock()
}

// SetEndpoints replaces the list for later requests, without an event to the open watches.
func (d *Discovery) SetEndpoints(endpoints ...Endpoint) {
	d.mu.Lock()
	d.revision, d.endpoints = d.revision+1, endpoints
	d.mu.Unlock()
}

// Push replaces the entries of the list that have the UIDs of the changed endpoints. It sends the changed endpoints to every watch
// as one event.
func (d *Discovery) Push(changed ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, endpoint := range changed {
		for i := range d.endpoints {
			if d.endpoints[i].UID == endpoint.UID {
				d.endpoints[i] = endpoint
			}
		}
	}
	line := d.message(false, changed)
	for c, watching := range d.conns {
		if watching {
			// Each line is sent as two chunks, so that a client that takes each chunk for a line fails its tests.
			fmt.Fprintf(c, "%x\r\n%s\r\n%x\r\n%s\r\n", 5, line[:5], len(line)-5, line[5:])
		}
	}
}

// ResetConns resets every open connection.
func (d *Discovery) ResetConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close stops the service and waits for its goroutines.
func (d *Discovery) Close() {
	d.listener.Close()
	d.ResetConns()
	d.goroutines.Wait()
}

// message encodes a watch event or, if all is true, the complete list.
func (d *Discovery) message(all bool, endpoints []Endpoint) string {
	b, _ := json.Marshal(map[string]any{"rev": d.revision, "all": all, "targets": endpoints})
	return string(b) + "\n"
}

func (d *Discovery) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.conns[conn] = false
		d.mu.Unlock()
		d.goroutines.Go(func() {
			d.serve(conn)
			conn.Close()
			d.mu.Lock()
			delete(d.conns, conn)
			d.mu.Unlock()
		})
	}
}

// serve answers one request, and keeps the connection of a watch until either side closes it.
func (d *Discovery) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	requestLine, err := r.ReadString('\n')
	for line := requestLine; err == nil && strings.TrimSpace(line) != ""; {
		line, err = r.ReadString('\n')
	}
	if err != nil {
		return
	}
	d.mu.Lock()
	rawResponse, list := d.rawResponse, d.message(true, d.endpoints)
	watch := strings.Contains(requestLine, "watch=1")
	switch {
	case rawResponse == "silent":
	case rawResponse != "":
		fmt.Fprint(conn, rawResponse)
	case watch:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
		d.conns[conn] = true
	default:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
	d.mu.Unlock()
	d.Requests <- strings.TrimSpace(requestLine)
	if rawResponse != "" && rawResponse != "silent" || rawResponse == "" && !watch {
		return
	}
	r.ReadByte() // waits until either side closes the connection
}
