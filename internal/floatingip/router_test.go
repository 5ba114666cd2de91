package floatingip

import (
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/fake"
	"marblespan/internal/protocol/sealed"
	codec "marblespan/internal/protocol/vrrp"
	"marblespan/internal/vrrp"
)

const interval = 20_000 // microseconds

var (
	oldKey = codec.Key{Number: 1, Secret: []byte("the old secret of the pair")}
	newKey = codec.Key{Number: 2, Secret: []byte("the new secret of the pair")}
)

// fakeAddressHandler is an AddressHandler that counts its calls.
type fakeAddressHandler struct {
	mu          sync.Mutex
	activated   int
	deactivated int
	gate        func() bool
	fail        error
}

func (h *fakeAddressHandler) Activate(_ string, _ netip.AddrPort, gate func() bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fail != nil {
		return h.fail
	}
	h.activated++
	h.gate = gate
	return nil
}

func (h *fakeAddressHandler) Deactivate(string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deactivated++
}

func (h *fakeAddressHandler) active() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.activated > h.deactivated
}

func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// pair is two routers that are connected by a fake network path.
type pair struct {
	t        *testing.T
	path     *fake.Path
	ends     []*net.UDPAddr
	routers  []*VRRPRouter
	handlers []*fakeAddressHandler
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{t: t, routers: make([]*VRRPRouter, 2), handlers: make([]*fakeAddressHandler, 2)}
	for i := range 2 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, byte(2+i))})
		if err != nil {
			t.Fatal(err)
		}
		p.ends = append(p.ends, c.LocalAddr().(*net.UDPAddr))
		c.Close()
	}
	var err error
	if p.path, err = fake.NewPath(p.ends...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, s := range p.routers {
			if s != nil {
				s.Close()
			}
		}
		p.path.Close()
	})
	return p
}

func (p *pair) settings(i int, priority uint8, keys ...codec.Key) Settings {
	bind := p.ends[i].AddrPort()
	bind = netip.AddrPortFrom(bind.Addr().Unmap(), bind.Port())
	return Settings{
		Node: uint8(i + 1), Bind: bind, Keys: keys,
		Peers: []Peer{{Node: uint8(2 - i), Address: netip.MustParseAddrPort(p.path.PeerAddr(i, 1-i))}},
		Groups: []Group{{
			Name: "g", Addresses: []netip.Addr{netip.MustParseAddr("192.0.2.10")}, Listen: netip.MustParseAddrPort("127.0.0.1:1"),
			Machine: vrrp.Config{VRID: 9, Priority: priority, AdvertisementInterval: interval, Preempt: true, LocalAddress: bind.Addr()},
		}},
	}
}

func (p *pair) start(i int, s Settings, start uint64) {
	p.t.Helper()
	origin := time.Now()
	clock := Clock{
		Now:  func() clock.Micros { return clock.Micros(time.Since(origin)/time.Microsecond) + 1 },
		Time: func(m clock.Micros) time.Time { return origin.Add(time.Duration(m-1) * time.Microsecond) },
	}
	p.handlers[i] = &fakeAddressHandler{}
	var err error
	p.routers[i], err = Start(s, clock, start, p.handlers[i], func() vrrp.Health { return vrrp.Health{Ready: true} }, zerolog.Nop())
	if err != nil {
		p.t.Fatal(err)
	}
}

// awaitActive waits until one router, and not the other, is active.
func (p *pair) awaitActive(router int) {
	p.t.Helper()
	eventually(p.t, "the wrong router is active", func() bool { return p.handlers[router].active() && !p.handlers[1-router].active() })
}

// The system clock of a gateway is set back while the gateway is down. After the restart its messages look older to its peer than
// those of its earlier incarnation, so the peer drops them as replays. The peer's advertisements carry the later start; the
// gateway advances its own start past it, and the peer then accepts its messages again.
func TestClockSetBack(t *testing.T) {
	p := newPair(t)
	p.start(0, p.settings(0, 200, oldKey), 5_000_000)
	p.start(1, p.settings(1, 100, oldKey), 5_000_000)
	p.awaitActive(0)
	p.routers[0].Close()
	p.awaitActive(1)
	p.start(0, p.settings(0, 200, oldKey), 1_000_000)
	p.awaitActive(0)
	if n := p.routers[0].Counters.StartAdvanced.Load(); n != 1 {
		t.Errorf("the start was advanced %d times, want 1", n)
	}
	sent := p.routers[1].Counters.Sent.Load()
	eventually(t, "the active router has sent too few advertisements", func() bool { return p.path.Delivered(0, 1) > 50 })
	if n := p.routers[1].Counters.Sent.Load(); n != sent || !p.handlers[0].active() {
		t.Errorf("the backup sent %d messages, or the active router released the address", n-sent)
	}
}

// The keys change while both routers run: first both accept the new key, then both sign with it, then the old key is removed. The
// same router stays active throughout.
func TestKeysChangeInService(t *testing.T) {
	p := newPair(t)
	p.start(0, p.settings(0, 200, oldKey), 1)
	p.start(1, p.settings(1, 100, oldKey), 1)
	p.awaitActive(0)
	for _, keys := range [][]codec.Key{{oldKey, newKey}, {newKey, oldKey}, {newKey}} {
		for i, priority := range []uint8{200, 100} {
			p.routers[i].Reload(p.settings(i, priority, keys...))
		}
		n := p.path.Delivered(0, 1)
		eventually(t, "the active router sends no advertisements", func() bool { return p.path.Delivered(0, 1) > n+10 })
	}
	if p.handlers[0].activated != 1 || p.handlers[1].activated != 0 {
		t.Errorf("the routers activated the address %d and %d times, want 1 and 0", p.handlers[0].activated, p.handlers[1].activated)
	}
	// A gateway that still signs with the old key is not accepted any more.
	p.routers[1].Reload(p.settings(1, 100, oldKey))
	eventually(t, "messages signed with an unknown key are not dropped", func() bool {
		return p.routers[1].Counters.Dropped[sealed.UnknownKey].Load() > 0 && p.handlers[1].active()
	})
}

// Messages that are invalid, not from a peer, or replayed change nothing, and each is counted under its fault.
func TestInvalidMessagesAndReplays(t *testing.T) {
	p := newPair(t)
	s0 := p.settings(0, 200, oldKey)
	p.start(1, p.settings(1, 100, oldKey), 1)
	eventually(t, "the router did not activate the address", func() bool { return p.handlers[1].active() })
	message := func(change func(*codec.Message)) []byte {
		m := codec.Message{
			VRID: 9, Priority: 250, Interval: interval, Addresses: s0.Groups[0].Addresses,
			Trailer: codec.Trailer{Sender: 1, Receiver: 2, Start: 77, Sequence: 5},
		}
		change(&m)
		b, err := codec.Append(nil, m, s0.Bind.Addr(), s0.Peers[0].Address.Addr(), oldKey)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	counts := &p.routers[1].Counters
	for _, c := range []struct {
		fault sealed.Fault
		b     []byte
	}{
		{sealed.UnknownVRID, message(func(m *codec.Message) { m.VRID = 8 })},
		{sealed.WrongPeer, message(func(m *codec.Message) { m.Sender = 3 })},
		{sealed.WrongPeer, message(func(m *codec.Message) { m.Receiver = 1 })},
		{sealed.OtherAddress, message(func(m *codec.Message) { m.Addresses = []netip.Addr{netip.MustParseAddr("192.0.2.11")} })},
		{sealed.Replayed, message(func(m *codec.Message) { m.Sequence = 4 })},
		{sealed.BadLength, []byte{1, 9, 3}},
		{sealed.BadVersion, make([]byte, 100)[:0]},
	} {
		before := counts.Dropped[c.fault].Load()
		if len(c.b) == 0 {
			c.b = message(func(*codec.Message) {})
			c.b[0] = 0x21
		}
		p.path.Inject(0, 1, c.b)
		eventually(t, "not counted under its fault: "+c.fault.Name(), func() bool { return counts.Dropped[c.fault].Load() == before+1 })
	}
	unknownSender, err := net.DialUDP("udp4", nil, p.ends[1])
	if err != nil {
		t.Fatal(err)
	}
	defer unknownSender.Close()
	unknownSender.Write(message(func(m *codec.Message) { m.Sequence = 9 }))
	eventually(t, "a message from an unknown address is not counted", func() bool { return counts.Dropped[sealed.WrongSource].Load() == 1 })
	if !p.handlers[1].active() || p.handlers[1].activated != 1 {
		t.Error("an invalid message changed which router is active")
	}
	valid := message(func(m *codec.Message) { m.Sequence = 10 })
	p.path.Inject(0, 1, valid)
	eventually(t, "a valid advertisement of higher priority does not end the activation", func() bool { return !p.handlers[1].active() })
	before := counts.Dropped[sealed.Replayed].Load()
	p.path.Inject(0, 1, valid)
	eventually(t, "a replay is not counted", func() bool { return counts.Dropped[sealed.Replayed].Load() == before+1 })
}

// A gateway that cannot open the floating listener leaves the address to the other gateway.
func TestListenerFails(t *testing.T) {
	p := newPair(t)
	s := p.settings(0, 200, oldKey)
	s.Groups[0].Machine.Damping = vrrp.Damping{Window: 1_000_000, InitialDelay: 60_000_000, MaxDelay: 60_000_000}
	p.start(0, s, 1)
	p.handlers[0].mu.Lock()
	p.handlers[0].fail = errors.New("in use")
	p.handlers[0].mu.Unlock()
	p.start(1, p.settings(1, 100, oldKey), 1)
	eventually(t, "the other router does not take over", func() bool { return p.handlers[1].active() })
	eventually(t, "the failed router does not become a backup of the other one", func() bool {
		st := p.routers[0].Status()[0]
		return st.State == "backup" && st.PreemptBlockedMS > 0 && st.ActiveRouter == "127.0.0.3"
	})
	if p.handlers[0].gate != nil {
		t.Error("the address was activated although the listener failed")
	}
}

func TestStatusAndGate(t *testing.T) {
	p := newPair(t)
	p.start(0, p.settings(0, 200, oldKey), 1)
	eventually(t, "the router did not activate the address", func() bool { return p.handlers[0].active() && p.handlers[0].gate() })
	st := p.routers[0].Status()
	if len(st) != 1 || st[0].State != "active" || st[0].Activation != 1 || st[0].Priority != 200 || strings.Join(st[0].Addresses, "") != "192.0.2.10" {
		t.Errorf("%+v", st)
	}
	p.routers[0].Shutdown(false)
	if p.handlers[0].gate() || p.handlers[0].active() {
		t.Error("requests are still accepted after the shutdown")
	}
	p.routers[0].Close()
	if p.routers[0].Status() != nil {
		t.Error("a closed router returns a status")
	}
	p.routers[0] = nil
}
