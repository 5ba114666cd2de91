package fake

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Switch leads the connections of one floating address to whoever announced it last, as a switch does that learns where an
// address is. It understands announcements by their description alone and shares no code with the gateway's codec.
type Switch struct {
	ResetOnTakeover bool // old flows are reset when the address moves; else they go on

	secret   []byte
	listener net.Listener
	heard    *net.UDPConn
	done     sync.WaitGroup

	mu     sync.Mutex
	holder string
	order  map[byte][2]uint64 // start and sequence last heard of each sender
	moves  int
	flows  map[*flow]struct{}
	cut    map[string]bool // holders that cannot be reached, whose flows are silent
	closed bool
}

type flow struct {
	client, gateway net.Conn
	holder          string
}

// NewSwitch starts a switch on loopback that trusts announcements signed with a secret.
func NewSwitch(secret string) (*Switch, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		l.Close()
		return nil, err
	}
	s := &Switch{
		secret: []byte(secret), listener: l, heard: u, order: map[byte][2]uint64{}, flows: map[*flow]struct{}{},
		cut: map[string]bool{},
	}
	s.done.Add(2)
	go s.listen()
	go s.accept()
	return s, nil
}

// Addr is the floating address.
func (s *Switch) Addr() string { return s.listener.Addr().String() }

// Announced is where announcements go.
func (s *Switch) AnnouncementAddr() string { return s.heard.LocalAddr().String() }

// Holder is where connections are led now, and how often that has changed.
func (s *Switch) ActiveGateway() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder, s.moves
}

// Led tells where the connection from a client's address was led, as long as it lasts.
func (s *Switch) GatewayOf(client string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.flows {
		if f.client.RemoteAddr().String() == client {
			return f.holder
		}
	}
	return ""
}

// Cut makes a holder unreachable, or reachable again: its announcements are not heard, its flows are silent and new ones do
// not come up.
func (s *Switch) SetUnreachable(holder string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[holder] = on
	if !on {
		return
	}
	for f := range s.flows {
		if f.holder == holder {
			// What is under way is lost on both sides; the ends learn nothing of each other.
			f.gateway.SetDeadline(time.Unix(1, 0))
		}
	}
}

// Reset resets all flows of a holder, as the end of its machine does.
func (s *Switch) ResetFlows(holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.flows {
		if f.holder == holder {
			f.reset()
		}
	}
}

func (f *flow) reset() {
	for _, c := range []net.Conn{f.client, f.gateway} {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close ends the switch and every flow.
func (s *Switch) Close() {
	s.mu.Lock()
	s.closed = true
	for f := range s.flows {
		f.reset()
	}
	s.mu.Unlock()
	s.listener.Close()
	s.heard.Close()
	s.done.Wait()
}

// The layout of an announcement: "MSA", version 1, VRID, key, sender, count, start (8), sequence (8), listen address (16) and
// port (2), the floating addresses (16 each), HMAC-SHA-256 over all of it behind a label.
const announceHead, announceLabel = 42, "marblespan vrrp 1\x00"

func (s *Switch) listen() {
	defer s.done.Done()
	b := make([]byte, 2048)
	for {
		n, err := s.heard.Read(b)
		if err != nil {
			return
		}
		s.hear(b[:n])
	}
}

func (s *Switch) hear(b []byte) {
	if len(b) < announceHead+16+32 || string(b[:4]) != "MSA\x01" {
		return
	}
	h := hmac.New(sha256.New, s.secret)
	h.Write([]byte(announceLabel))
	h.Write(b[:len(b)-32])
	if !hmac.Equal(h.Sum(nil), b[len(b)-32:]) {
		return
	}
	start, sequence := binary.BigEndian.Uint64(b[8:]), binary.BigEndian.Uint64(b[16:])
	at := netip.AddrFrom16([16]byte(b[24:40])).Unmap()
	holder := netip.AddrPortFrom(at, binary.BigEndian.Uint16(b[40:])).String()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.order[b[6]]
	if s.cut[holder] || start < last[0] || start == last[0] && sequence <= last[1] {
		return
	}
	s.order[b[6]] = [2]uint64{start, sequence}
	if holder == s.holder {
		return
	}
	s.holder = holder
	s.moves++
	if s.ResetOnTakeover {
		for f := range s.flows {
			if f.holder != holder {
				f.reset()
			}
		}
	}
}

func (s *Switch) accept() {
	defer s.done.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			s.lead(c)
		}()
	}
}

// lead joins a client to the holder of the moment. Without one the client is reset, as by a router that finds no host.
func (s *Switch) lead(client net.Conn) {
	s.mu.Lock()
	holder, cut := s.holder, s.cut[s.holder]
	s.mu.Unlock()
	f := &flow{client: client, holder: holder}
	var err error
	if holder == "" || cut {
		err = io.EOF
	} else {
		f.gateway, err = net.DialTimeout("tcp", holder, time.Second)
	}
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	s.mu.Lock()
	s.flows[f] = struct{}{}
	if s.closed {
		f.reset()
	}
	s.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		s.pass(f, f.gateway, f.client)
	}()
	go func() {
		defer both.Done()
		s.pass(f, f.client, f.gateway)
	}()
	both.Wait()
	client.Close()
	f.gateway.Close()
	s.mu.Lock()
	delete(s.flows, f)
	s.mu.Unlock()
}

// pass copies one direction. An orderly end is passed on as one, any other as a reset; of a flow that is cut nothing is.
func (s *Switch) pass(f *flow, to, from net.Conn) {
	_, err := io.Copy(to, from)
	s.mu.Lock()
	cut := s.cut[f.holder]
	s.mu.Unlock()
	switch {
	case cut:
	case err != nil:
		f.reset()
	default:
		to.(*net.TCPConn).CloseWrite()
	}
}
