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

// Switch forwards the connections of one floating address to the gateway that announced the address last, like a network switch
// that learns the port of an address from announcements. Its decoder is written from the description of the announcements and
// shares no code with the gateway's codec.
type Switch struct {
	ResetOnTakeover bool // a takeover resets the former gateway's connections; otherwise they stay open

	secret        []byte
	listener      net.Listener
	announcements *net.UDPConn
	goroutines    sync.WaitGroup

	mu            sync.Mutex
	active        string
	lastAnnounced map[byte][2]uint64 // start and sequence of the last announcement from each sender
	takeovers     int
	flows         map[*flow]struct{}
	unreachable   map[string]bool // gateways that cannot be reached; their connections carry nothing
	closed        bool
}

// flow is one forwarded connection.
type flow struct {
	client, server net.Conn
	gatewayAddr    string
}

// NewSwitch starts a switch on loopback that accepts announcements signed with a secret.
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
	s.goroutines.Go(s.receiveAnnouncements)
	s.goroutines.Go(func() { acceptAll(s.listener, &s.goroutines, s.forward) })
	return s, nil
}

// Addr returns the floating address.
func (s *Switch) Addr() string { return s.listener.Addr().String() }

// AnnouncementAddr returns the address that gateways send announcements to.
func (s *Switch) AnnouncementAddr() string { return s.announcements.LocalAddr().String() }

// ActiveGateway returns the gateway to which new connections are forwarded, and the number of takeovers so far.
func (s *Switch) ActiveGateway() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active, s.takeovers
}

// GatewayOf returns the gateway to which the open connection from a client's address was forwarded, or "" if there is none.
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

// SetUnreachable makes a gateway unreachable, or reachable again. While it is unreachable, its announcements are ignored, its
// connections carry nothing and new connections to it are reset.
func (s *Switch) SetUnreachable(gateway string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable[gateway] = on
	if !on {
		return
	}
	for f := range s.flows {
		if f.gatewayAddr == gateway {
			// Data in flight is lost in both directions, and neither end is notified.
			f.server.SetDeadline(time.Unix(1, 0))
		}
	}
}

// ResetFlows resets all connections of a gateway, as if its machine had failed.
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

// Close resets every connection, stops the switch and waits for its goroutines.
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
// port (2), the floating addresses (16 each), HMAC-SHA-256 of a label followed by all these fields.
const announcementHeader, announcementLabel = 42, "marblespan vrrp 1\x00"

func (s *Switch) receiveAnnouncements() {
	b := make([]byte, 2048)
	for {
		n, err := s.announcements.Read(b)
		if err != nil {
			return
		}
		s.handleAnnouncement(b[:n])
	}
}

// handleAnnouncement verifies an announcement and makes its sender the active gateway. It ignores an announcement that is not newer
// than the sender's last one, and announcements of unreachable gateways.
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

// forward connects a client to the active gateway. If there is no active gateway, or the active gateway is unreachable, the
// client's connection is reset.
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
	both.Go(func() { s.copyDirection(connection, connection.server, connection.client) })
	both.Go(func() { s.copyDirection(connection, connection.client, connection.server) })
	both.Wait()
	client.Close()
	connection.server.Close()
	s.mu.Lock()
	delete(s.flows, connection)
	s.mu.Unlock()
}

// copyDirection forwards one direction of a connection. It forwards an orderly end as an orderly end, and any other end as a
// reset. If the gateway is unreachable, copyDirection does not forward the end.
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
