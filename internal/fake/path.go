package fake

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Impairment describes how a network degrades the traffic from one node to another. The zero value is a perfect link.
type Impairment struct {
	Drop         bool          // datagrams are lost, streams stall
	LossRate     float64       // the fraction, from 0 to 1, of datagrams lost, and of stream chunks retransmitted
	Delay        time.Duration // delay of each datagram or chunk
	Jitter       time.Duration // maximum random addition to Delay, so that datagrams overtake each other
	Duplicates   int           // additional copies of each datagram
	Reorder      bool          // each pair of datagrams arrives in reverse order
	StallStreams bool          // streams stall, but datagrams are forwarded
	Rate         int           // limit of a stream, in bytes per second; 0 for none
}

// randomDelay draws the delay of one datagram or chunk.
func (f Impairment) randomDelay() time.Duration {
	if f.Jitter > 0 {
		return f.Delay + time.Duration(rand.Int64N(int64(f.Jitter)))
	}
	return f.Delay
}

// Path is a network between nodes, numbered from 0, that forwards datagrams and, after CarryStreams, streams with an Impairment
// for each direction. Each ordered pair of nodes has an address of its own: the first node sends to that address to reach the
// second node. The receiver sees datagrams come from the address of the opposite link, which has the sender's IP.
type Path struct {
	mu        sync.Mutex
	nodeAddrs []*net.UDPAddr // the address of each node's socket
	links     [][]*link
	delayed   sync.WaitGroup // timers of delayed datagrams
	receivers sync.WaitGroup // one goroutine for each link
	closed    bool
}

// link is one direction between two nodes.
type link struct {
	conn       *net.UDPConn
	relay      *Relay // relay of the link's streams; may be nil
	impairment Impairment
	swapped    []byte // the first datagram of a pair to reorder, while it waits for the second
	delivered  int    // number of datagrams forwarded
}

// NewPath starts a path between nodes whose sockets have these addresses.
func NewPath(nodes ...*net.UDPAddr) (*Path, error) {
	p := &Path{nodeAddrs: nodes}
	for i := range nodes {
		p.links = append(p.links, make([]*link, len(nodes)))
		for j := range nodes {
			if i == j {
				continue
			}
			// Node i sends here to reach j, so the address has j's IP.
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: nodes[j].IP})
			if err != nil {
				p.Close()
				return nil, err
			}
			p.links[i][j] = &link{conn: c}
		}
	}
	for i := range nodes {
		for j := range nodes {
			if i != j {
				p.receivers.Go(func() { p.receive(i, j) })
			}
		}
	}
	return p, nil
}

// PeerAddr returns the address at which node i reaches node j.
func (p *Path) PeerAddr(i, j int) string { return p.links[i][j].conn.LocalAddr().String() }

// CarryStreams makes the path forward TCP connections too, at the same addresses. Node j's listener must have the address of its
// socket.
func (p *Path) CarryStreams() error {
	for i, links := range p.links {
		for j, link := range links {
			if link == nil {
				continue
			}
			r, err := NewRelay(link.conn.LocalAddr().String(), p.nodeAddrs[j].String(), p.nodeAddrs[i].IP)
			if err != nil {
				return err
			}
			link.relay = r
		}
	}
	return nil
}

// Set changes the impairment from node i to node j.
func (p *Path) Set(i, j int, f Impairment) {
	p.mu.Lock()
	p.links[i][j].impairment, p.links[i][j].swapped = f, nil
	back := p.links[j][i].impairment
	p.mu.Unlock()
	if r := p.links[i][j].relay; r != nil {
		r.Set(f, back)
		p.links[j][i].relay.Set(back, f)
	}
}

// ResetStreams resets the streams that node i has opened to node j.
func (p *Path) ResetStreams(i, j int) {
	if r := p.links[i][j].relay; r != nil {
		r.ResetStreams()
	}
}

// SetAll sets the same impairment for every pair.
func (p *Path) SetAll(f Impairment) {
	for i := range p.nodeAddrs {
		for j := range p.nodeAddrs {
			if i != j {
				p.Set(i, j, f)
			}
		}
	}
}

// Isolate drops all traffic to and from a node if on is true. Otherwise Isolate removes every impairment of the node's links.
func (p *Path) Isolate(i int, on bool) {
	for j := range p.nodeAddrs {
		if i != j {
			p.Set(i, j, Impairment{Drop: on})
			p.Set(j, i, Impairment{Drop: on})
		}
	}
}

// Delivered returns the number of datagrams forwarded from node i to node j, including duplicates.
func (p *Path) Delivered(i, j int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[i][j].delivered
}

// Inject sends a datagram to node j as if node i had sent it.
func (p *Path) Inject(i, j int, b []byte) {
	p.links[j][i].conn.WriteToUDP(b, p.nodeAddrs[j])
}

// receive forwards the datagrams from node i to node j until the link is closed.
func (p *Path) receive(i, j int) {
	link, buffer := p.links[i][j], make([]byte, 4096)
	for {
		n, err := link.conn.Read(buffer)
		if err != nil {
			return
		}
		p.forward(i, j, bytes.Clone(buffer[:n]))
	}
}

// forward applies the impairment from node i to node j to one datagram.
func (p *Path) forward(i, j int, datagram []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	link := p.links[i][j]
	impairment := link.impairment
	if impairment.Drop || p.closed || impairment.LossRate > 0 && rand.Float64() < impairment.LossRate {
		return
	}
	datagrams := [][]byte{datagram}
	if impairment.Reorder {
		if link.swapped == nil {
			link.swapped = datagram
			return
		}
		datagrams, link.swapped = [][]byte{datagram, link.swapped}, nil
	}
	for range impairment.Duplicates {
		datagrams = append(datagrams, datagram)
	}
	link.delivered += len(datagrams)
	deliver := func() {
		for _, x := range datagrams {
			p.Inject(i, j, x)
		}
	}
	if impairment.Delay == 0 && impairment.Jitter == 0 {
		deliver()
		return
	}
	p.delayed.Add(1)
	time.AfterFunc(impairment.randomDelay(), func() {
		defer p.delayed.Done()
		deliver()
	})
}

// Close stops the path and waits for its goroutines and delayed datagrams.
func (p *Path) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.delayed.Wait()
	for _, links := range p.links {
		for _, link := range links {
			if link == nil {
				continue
			}
			link.conn.Close()
			if link.relay != nil {
				link.relay.Close()
			}
		}
	}
	p.receivers.Wait()
}
