package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
)

// Target is one entry of the list, as discovery writes it.
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

// Discovery is the discovery service. It answers every watch with the whole list, and goes on with what Push hands it.
type Discovery struct {
	mu          sync.Mutex
	listener    net.Listener
	revision    int
	endpoints   []Endpoint
	rawResponse string // a whole answer to give instead; "silent" for none at all
	watching    map[net.Conn]bool
	goroutines  sync.WaitGroup
	Requests    chan string // the request line of each call
}

// NewDiscovery starts a discovery service on loopback.
func NewDiscovery(targets ...Endpoint) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		listener: l, revision: 1, endpoints: targets, watching: map[net.Conn]bool{}, Requests: make(chan string, 4096),
	}
	d.goroutines.Add(1)
	go d.accept()
	return d, nil
}

// Addr is where the service listens.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Answer makes every call from now on end with these bytes; empty for the list, "silent" for nothing.
func (d *Discovery) SetRawResponse(raw string) {
	d.mu.Lock()
	d.rawResponse = raw
	d.mu.Unlock()
}

// SetTargets changes the list for calls to come, without a word to the watches.
func (d *Discovery) SetEndpoints(targets ...Endpoint) {
	d.mu.Lock()
	d.revision, d.endpoints = d.revision+1, targets
	d.mu.Unlock()
}

// Push writes changes to every watch.
func (d *Discovery) Push(changed ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, t := range changed {
		for i := range d.endpoints {
			if d.endpoints[i].UID == t.UID {
				d.endpoints[i] = t
			}
		}
	}
	line := d.message(false, changed)
	for c, watching := range d.watching {
		if watching {
			// Cut in two, so that nothing depends on lines and chunks being the same.
			fmt.Fprintf(c, "%x\r\n%s\r\n%x\r\n%s\r\n", 5, line[:5], len(line)-5, line[5:])
		}
	}
}

// Cut breaks every connection.
func (d *Discovery) ResetConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.watching {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close ends the service.
func (d *Discovery) Close() {
	d.listener.Close()
	d.ResetConns()
	d.goroutines.Wait()
}

func (d *Discovery) message(all bool, targets []Endpoint) string {
	b, _ := json.Marshal(map[string]any{"rev": d.revision, "all": all, "targets": targets})
	return string(b) + "\n"
}

func (d *Discovery) accept() {
	defer d.goroutines.Done()
	for {
		nc, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.watching[nc] = false
		d.mu.Unlock()
		d.goroutines.Add(1)
		go func() {
			defer d.goroutines.Done()
			d.serve(nc)
			nc.Close()
			d.mu.Lock()
			delete(d.watching, nc)
			d.mu.Unlock()
		}()
	}
}

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
		d.watching[conn] = true
	default:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
	d.mu.Unlock()
	d.Requests <- strings.TrimSpace(requestLine)
	if rawResponse != "" && rawResponse != "silent" || rawResponse == "" && !watch {
		return
	}
	r.ReadByte() // until either side closes
}
