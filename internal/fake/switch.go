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

	secret        []byte
	listener      net.Listener
	announcements *net.UDPConn
	goroutines    sync.WaitGroup

	mu            sync.Mutex
	active        string
	lastAnnounced map[byte][2]uint64 // start and sequence last heard of each sender
	takeovers     int
	flows         map[*flow]struct{}
	unreachable   map[string]bool // holders that cannot be reached, whose flows are silent
	closed        bool
}

type flow struct {
	client, server net.Conn
	gatewayAddr    string
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
		secret: []byte(secret), listener: l, announcements: u, lastAnnounced: map[byte][2]uint64{}, flows: map[*flow]struct{}{},
		unreachable: map[string]bool{},
	}
	s.goroutines.Add(2)
	go s.receiveAnnouncements()
	go s.accept()
	return s, nil
}

// Addr is the floating address.
func (s *Switch) Addr() string { return s.listener.Addr().String() }

// Announced is where announcements go.
func (s *Switch) AnnouncementAddr() string { return s.announcements.LocalAddr().String() }

// Holder is where connections are led now, and how often that has changed.
func (s *Switch) ActiveGateway() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active, s.takeovers
}

// Led tells where the connection from a client's address was led, as long as it lasts.
func (s *Switch) GatewayOf(client string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.flows {
		if f.client.RemoteAddr().String() == client {
			return f.gatewayAddr
		}
	}
	return ""
}

// Cut makes a holder unreachable, or reachable again: its announcements are not heard, its flows are silent and new ones do
// not come up.
func (s *Switch) SetUnreachable(gateway string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable[gateway] = on
	if !on {
		return
	}
	for f := range s.flows {
		if f.gatewayAddr == gateway {
			// What is under way is lost on both sides; the ends learn nothing of each other.
			f.server.SetDeadline(time.Unix(1, 0))
		}
	}
}

// Reset resets all flows of a holder, as the end of its machine does.
func (s *Switch) ResetFlows(gateway string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.flows {
		if f.gatewayAddr == gateway {
			f.reset()
		}
	}
}

func (f *flow) reset() {
	for _, c := range []net.Conn{f.client, f.server} {
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
	s.announcements.Close()
	s.goroutines.Wait()
}

// The layout of an announcement: "MSA", version 1, VRID, key, sender, count, start (8), sequence (8), listen address (16) and
// port (2), the floating addresses (16 each), HMAC-SHA-256 over all of it behind a label.
const announcementHeader, announcementLabel = 42, "marblespan vrrp 1\x00"

func (s *Switch) receiveAnnouncements() {
	defer s.goroutines.Done()
	b := make([]byte, 2048)
	for {
		n, err := s.announcements.Read(b)
		if err != nil {
			return
		}
		s.handleAnnouncement(b[:n])
	}
}

func (s *Switch) handleAnnouncement(b []byte) {
	if len(b) < announcementHeader+16+32 || string(b[:4]) != "MSA\x01" {
		return
	}
	h := hmac.New(sha256.New, s.secret)
	h.Write([]byte(announcementLabel))
	h.Write(b[:len(b)-32])
	if !hmac.Equal(h.Sum(nil), b[len(b)-32:]) {
		return
	}
	start, sequence := binary.BigEndian.Uint64(b[8:]), binary.BigEndian.Uint64(b[16:])
	at := netip.AddrFrom16([16]byte(b[24:40])).Unmap()
	gateway := netip.AddrPortFrom(at, binary.BigEndian.Uint16(b[40:])).String()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastAnnounced[b[6]]
	if s.unreachable[gateway] || start < last[0] || start == last[0] && sequence <= last[1] {
		return
	}
	s.lastAnnounced[b[6]] = [2]uint64{start, sequence}
	if gateway == s.active {
		return
	}
	s.active = gateway
	s.takeovers++
	if s.ResetOnTakeover {
		for f := range s.flows {
			if f.gatewayAddr != gateway {
				f.reset()
			}
		}
	}
}

func (s *Switch) accept() {
	defer s.goroutines.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			s.forward(c)
		}()
	}
}

// lead joins a client to the holder of the moment. Without one the client is reset, as by a router that finds no host.
func (s *Switch) forward(client net.Conn) {
	s.mu.Lock()
	gateway, unreachable := s.active, s.unreachable[s.active]
	s.mu.Unlock()
	connection := &flow{client: client, gatewayAddr: gateway}
	var err error
	if gateway == "" || unreachable {
		err = io.EOF
	} else {
		connection.server, err = net.DialTimeout("tcp", gateway, time.Second)
	}
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	s.mu.Lock()
	s.flows[connection] = struct{}{}
	if s.closed {
		connection.reset()
	}
	s.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		s.copyDirection(connection, connection.server, connection.client)
	}()
	go func() {
		defer both.Done()
		s.copyDirection(connection, connection.client, connection.server)
	}()
	both.Wait()
	client.Close()
	connection.server.Close()
	s.mu.Lock()
	delete(s.flows, connection)
	s.mu.Unlock()
}

// pass copies one direction. An orderly end is passed on as one, any other as a reset; of a flow that is cut nothing is.
func (s *Switch) copyDirection(f *flow, to, from net.Conn) {
	_, err := io.Copy(to, from)
	s.mu.Lock()
	unreachable := s.unreachable[f.gatewayAddr]
	s.mu.Unlock()
	switch {
	case unreachable:
	case err != nil:
		f.reset()
	default:
		to.(*net.TCPConn).CloseWrite()
	}
}
