package fake

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fate is what becomes of what one node sends to another.
type Impairment struct {
	Drop         bool          // nothing arrives; a stream stands still
	LossRate     float64       // the share of datagrams that is lost; of a stream's chunks, that comes late
	Delay        time.Duration // of each
	Jitter       time.Duration // up to so much more, at random, so that datagrams overtake each other
	Duplicates   int           // further copies of each datagram
	Reorder      bool          // each pair of datagrams arrives in the other order
	StallStreams bool          // streams stand still, datagrams pass
	Rate         int           // of a stream, in bytes a second; 0: no bound
}

// span is how long something takes.
func (f Impairment) randomDelay() time.Duration {
	if f.Jitter > 0 {
		return f.Delay + time.Duration(rand.Int64N(int64(f.Jitter)))
	}
	return f.Delay
}

// Path carries datagrams, and streams where asked for, between nodes, numbered from 0, and does to them what it is told.
// Each ordered pair has an address where one node sends to the other; the other sees datagrams come from the address of the
// way back, which has the sender's IP.
type Path struct {
	mu        sync.Mutex
	nodeAddrs []*net.UDPAddr // where each is bound
	links     [][]*link
	delayed   sync.WaitGroup
	receivers sync.WaitGroup
	closed    bool
}

type link struct {
	conn       *net.UDPConn
	relay      *Relay // of streams; may be nil
	impairment Impairment
	swapped    []byte
	delivered  int
}

// NewPath makes a path between nodes whose sockets are at these addresses.
func NewPath(nodes ...*net.UDPAddr) (*Path, error) {
	p := &Path{nodeAddrs: nodes}
	for i := range nodes {
		p.links = append(p.links, make([]*link, len(nodes)))
		for j := range nodes {
			if i == j {
				continue
			}
			// Where i sends to j: j's address to i, so it has j's IP.
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
				p.receivers.Add(1)
				go p.receive(i, j)
			}
		}
	}
	return p, nil
}

// Peer is the address under which node j is known to node i.
func (p *Path) PeerAddr(i, j int) string { return p.links[i][j].conn.LocalAddr().String() }

// Streams carries streams too, at the same addresses: i reaches j's listener, which has the address of j's socket.
func (p *Path) CarryStreams() error {
	for i, ways := range p.links {
		for j, w := range ways {
			if w == nil {
				continue
			}
			r, err := NewRelay(w.conn.LocalAddr().String(), p.nodeAddrs[j].String(), p.nodeAddrs[i].IP)
			if err != nil {
				return err
			}
			w.relay = r
		}
	}
	return nil
}

// Set decides the fate of what i sends to j from now on.
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

// Reset resets the streams that i has opened to j.
func (p *Path) ResetStreams(i, j int) {
	if r := p.links[i][j].relay; r != nil {
		r.ResetStreams()
	}
}

// SetAll decides it for every pair.
func (p *Path) SetAll(f Impairment) {
	for i := range p.nodeAddrs {
		for j := range p.nodeAddrs {
			if i != j {
				p.Set(i, j, f)
			}
		}
	}
}

// Isolate drops all to and from a node, or lets it pass again.
func (p *Path) Isolate(i int, on bool) {
	for j := range p.nodeAddrs {
		if i != j {
			p.Set(i, j, Impairment{Drop: on})
			p.Set(j, i, Impairment{Drop: on})
		}
	}
}

// Passed is how many datagrams have gone from i to j.
func (p *Path) Delivered(i, j int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[i][j].delivered
}

// Inject sends a datagram to node j as if i had sent it.
func (p *Path) Inject(i, j int, b []byte) {
	p.links[j][i].conn.WriteToUDP(b, p.nodeAddrs[j])
}

func (p *Path) receive(i, j int) {
	defer p.receivers.Done()
	w, b := p.links[i][j], make([]byte, 4096)
	for {
		n, err := w.conn.Read(b)
		if err != nil {
			return
		}
		p.forward(i, j, append([]byte(nil), b[:n]...))
	}
}

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

// Close ends the path.
func (p *Path) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.delayed.Wait()
	for _, ways := range p.links {
		for _, w := range ways {
			if w == nil {
				continue
			}
			w.conn.Close()
			if w.relay != nil {
				w.relay.Close()
			}
		}
	}
	p.receivers.Wait()
}
