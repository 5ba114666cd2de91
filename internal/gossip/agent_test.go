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

// hour is what the clock shows when a member starts.
const hour clock.Micros = 3_600_000_000

var key = sealed.Key{Number: 1, Secret: []byte("a secret of sixteen or more")}

// member starts one on loopback. changes get every change of its view.
func member(t *testing.T, name string, start uint64, join ...netip.AddrPort) (*Agent, chan membership.MemberChanged) {
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

func until(t *testing.T, changes chan membership.MemberChanged, name string, state membership.State) membership.MemberChanged {
	t.Helper()
	for late := time.After(20 * time.Second); ; {
		select {
		case c := <-changes:
			if c.Name == name && c.State == state {
				return c
			}
		case <-late:
			t.Fatalf("nobody sees %s %v", name, state)
		}
	}
}

// Three find each other by one address, tell what they are, see one leave, and take nothing from strangers.
func TestPeers(t *testing.T) {
	a, seenA := member(t, "a", 1000)
	b, seenB := member(t, "b", 2000, a.Addr())
	c, seenC := member(t, "c", 3000, a.Addr(), netip.MustParseAddrPort("127.0.0.1:9"))
	for _, x := range []struct {
		changes chan membership.MemberChanged
		name    string
	}{{seenA, "b"}, {seenB, "c"}, {seenC, "a"}, {seenC, "b"}} {
		if r := until(t, x.changes, x.name, membership.Alive); r.Meta.Zone != "a" || r.Meta.Weight != 2 || r.Meta.Version != "1" {
			t.Errorf("%+v", r)
		}
	}
	raw, err := json.Marshal(c.Status())
	var s Status
	if err != nil || json.Unmarshal(raw, &s) != nil || len(s.Members) != 3 || !s.Members[0].Self || s.Members[0].ForMS > 60_000 || s.Members[1].Name != "a" || s.Members[2].SettingsDiffer {
		t.Errorf("%v %s", err, raw)
	}
	stranger, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	ping := membership.Message{Kind: membership.Ping, From: "x", Generation: 1, Records: []membership.Record{{Name: "x", Address: b.Addr(), Generation: 1}}}
	say := func(deployment string, k sealed.Key, sequence uint64) []byte {
		raw, err := codec.Append(nil, ping, sealed.Trailer{Start: 1, Sequence: sequence}, deployment, k)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	later := ping
	later.Kind = 77
	unknown, _ := codec.Append(nil, later, sealed.Trailer{Start: 1, Sequence: 9}, "", key)
	for _, x := range []struct {
		raw  []byte
		want sealed.Fault
	}{
		{[]byte("garbage"), sealed.BadLength},
		{make([]byte, 1200), sealed.BadVersion},
		{make([]byte, 9000), sealed.BadLength},
		{say("elsewhere", key, 1), sealed.BadMAC},
		{say("", sealed.Key{Number: 2, Secret: key.Secret}, 1), sealed.UnknownKey},
		{unknown, sealed.BadKind},
	} {
		before := a.Counts.Dropped[x.want].Load()
		stranger.Write(x.raw)
		for late := time.Now().Add(20 * time.Second); a.Counts.Dropped[x.want].Load() == before; time.Sleep(time.Millisecond) {
			if time.Now().After(late) {
				t.Fatalf("%v is not counted", x.want.Name())
			}
		}
	}
	good := say("", key, 1)
	before := a.Counts.Dropped[sealed.Replayed].Load()
	stranger.Write(good)
	stranger.Write(good) // a replay
	until(t, seenA, "x", membership.Alive)
	for late := time.Now().Add(20 * time.Second); a.Counts.Dropped[sealed.Replayed].Load() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("a replay is not counted")
		}
	}
	b.Close()
	until(t, seenA, "b", membership.Left)
	until(t, seenC, "b", membership.Left)
	next := a.settings
	next.Keys = []sealed.Key{{Number: 2, Secret: []byte("another secret, also long enough")}, key}
	a.Reload(next)
	until(t, seenA, "x", membership.Dead) // it never was there; and c, which has the old key only, is not dead for the new one
}
