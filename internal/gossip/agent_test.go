package gossip

import (
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/membership"
	codec "marblespan/internal/protocol/members"
	"marblespan/internal/protocol/sealed"
)

// hour is the reading of an agent's clock when the agent starts.
const hour clock.Micros = 3_600_000_000

// testTimeout is how long a test waits before it fails.
const testTimeout = 20 * time.Second

var key = sealed.Key{Number: 1, Secret: []byte("a secret of sixteen or more")}

// startAgent starts an agent on the loopback interface. The returned channel receives every change of its membership view.
func startAgent(t *testing.T, name string, start uint64, join ...netip.AddrPort) (*Agent, chan membership.MemberChanged) {
	t.Helper()
	begin := time.Now()
	clock := Clock{
		Now:  func() clock.Micros { return clock.Micros(time.Since(begin).Microseconds()) + hour },
		Time: func(m clock.Micros) time.Time { return begin.Add(time.Duration(m-hour) * time.Microsecond) },
	}
	changes := make(chan membership.MemberChanged, 256)
	p, err := Start(Settings{
		Node: name, Bind: netip.MustParseAddrPort("127.0.0.1:0"), Join: join, Keys: []sealed.Key{key}, Zone: "a", Weight: 2,
		Interval: 100 * time.Millisecond,
	}, clock, start, func() Self { return Self{Version: "1", Settings: 7} }, func(c membership.MemberChanged) { changes <- c }, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, changes
}

// awaitState waits until an agent reports that a member has changed to a state.
func awaitState(t *testing.T, changes chan membership.MemberChanged, name string, state membership.State) membership.MemberChanged {
	t.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case c := <-changes:
			if c.Name == name && c.State == state {
				return c
			}
		case <-timeout:
			t.Fatalf("%s was not reported as %v within %v", name, state, testTimeout)
		}
	}
}

// awaitDrop waits until an agent's count of datagrams that were dropped for a fault differs from before.
func awaitDrop(t *testing.T, a *Agent, fault sealed.Fault, before int64) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); a.Counts.Dropped[fault].Load() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no dropped datagram was counted for fault %s", fault.Name())
		}
	}
}

// signed encodes a message as a datagram that is signed for a deployment.
func signed(t *testing.T, msg membership.Message, deployment string, k sealed.Key, sequence uint64) []byte {
	t.Helper()
	raw, err := codec.Append(nil, msg, sealed.Trailer{Start: 1, Sequence: sequence}, deployment, k)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Three agents find each other through the address of one of them, exchange metadata, and see one of them leave. They drop
// datagrams that are malformed, replayed, or not validly signed.
func TestAgents(t *testing.T) {
	a, seenA := startAgent(t, "a", 1000)
	b, seenB := startAgent(t, "b", 2000, a.Addr())
	c, seenC := startAgent(t, "c", 3000, a.Addr(), netip.MustParseAddrPort("127.0.0.1:9"))
	for _, view := range []struct {
		changes chan membership.MemberChanged
		name    string
	}{{seenA, "b"}, {seenB, "c"}, {seenC, "a"}, {seenC, "b"}} {
		if r := awaitState(t, view.changes, view.name, membership.Alive); r.Meta.Zone != "a" || r.Meta.Weight != 2 || r.Meta.Version != "1" {
			t.Errorf("got %+v, want zone a, weight 2, version 1", r)
		}
	}
	raw, err := json.Marshal(c.Status())
	var s Status
	if err != nil || json.Unmarshal(raw, &s) != nil || len(s.Members) != 3 || !s.Members[0].Self || s.Members[0].ForMS > 60_000 || s.Members[1].Name != "a" || s.Members[2].SettingsDiffer {
		t.Errorf("got %s, error %v, want c itself, a and b with the same settings", raw, err)
	}
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	ping := membership.Message{
		Kind: membership.Ping, From: "x", Generation: 1, Records: []membership.Record{{Name: "x", Address: b.Addr(), Generation: 1}},
	}
	later := ping
	later.Kind = 77
	for _, invalid := range []struct {
		name string
		raw  []byte
		want sealed.Fault
	}{
		{"garbage", []byte("garbage"), sealed.BadLength},
		{"zeros", make([]byte, 1200), sealed.BadVersion},
		{"too long", make([]byte, 9000), sealed.BadLength},
		{"another deployment", signed(t, ping, "elsewhere", key, 1), sealed.BadMAC},
		{"unknown key", signed(t, ping, "", sealed.Key{Number: 2, Secret: key.Secret}, 1), sealed.UnknownKey},
		{"unknown kind", signed(t, later, "", key, 9), sealed.BadKind},
	} {
		t.Run(invalid.name, func(t *testing.T) {
			before := a.Counts.Dropped[invalid.want].Load()
			conn.Write(invalid.raw)
			awaitDrop(t, a, invalid.want, before)
		})
	}
	valid := signed(t, ping, "", key, 1)
	before := a.Counts.Dropped[sealed.Replayed].Load()
	conn.Write(valid)
	conn.Write(valid) // a replay
	awaitState(t, seenA, "x", membership.Alive)
	awaitDrop(t, a, sealed.Replayed, before)
	b.Close()
	awaitState(t, seenA, "b", membership.Left)
	awaitState(t, seenC, "b", membership.Left)
	next := a.settings
	next.Keys = []sealed.Key{{Number: 2, Secret: []byte("another secret, also long enough")}, key}
	a.Reload(next)
	// x never existed. c, which has only the old key, is not declared dead because of the key change.
	awaitState(t, seenA, "x", membership.Dead)
}
