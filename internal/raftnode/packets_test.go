package raftnode

import (
	"strings"
	"testing"
	"time"

	"marblespan/internal/raftstore"
	"marblespan/internal/streams"
)

// A packet that is too large for one stream message arrives in parts. It is complete only if all parts arrived in order.
func TestReassembler(t *testing.T) {
	part := func(packet, position, parts uint32, body string) string {
		return string(partHeader{packet, position, parts}.append(nil)) + body
	}
	type step struct {
		from, message string
		want          string // empty if the message completes no packet
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"complete packet", []step{{"a", "\x00whole", "whole"}}},
		{"parts of three packets in turn", []step{
			{"a", part(1, 0, 3, "x"), ""}, {"b", part(1, 0, 2, "p"), ""}, {"a", part(2, 0, 2, "u"), ""}, {"a", part(1, 1, 3, "y"), ""},
			{"a", part(1, 2, 3, "z"), "xyz"}, {"b", part(1, 1, 2, "q"), "pq"}, {"a", part(2, 1, 2, "v"), "uv"}, {"a", part(2, 1, 2, "v"), ""},
		}},
		{"out of order", []step{{"a", part(3, 0, 3, "x"), ""}, {"a", part(3, 2, 3, "z"), ""}, {"a", part(3, 1, 3, "y"), ""}}},
		{"too many parts", []step{{"a", part(4, 0, maxParts+1, "x"), ""}}},
		{"short header", []step{{"a", "\x01\x01", ""}}},
		{"empty", []step{{"a", "", ""}}},
		{"unknown kind", []step{{"a", "\x09\x09", ""}}},
		{"the oldest of too many packets is dropped", []step{
			{"a", part(5, 0, 2, "x"), ""}, {"a", part(6, 0, 2, "x"), ""}, {"a", part(7, 0, 2, "x"), ""}, {"a", part(8, 0, 2, "x"), ""},
			{"a", part(9, 0, 2, "x"), ""}, {"a", part(5, 1, 2, "y"), ""}, {"a", part(9, 1, 2, "y"), "xy"},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r reassembler
			for i, s := range c.steps {
				got, complete := r.add(s.from, []byte(s.message))
				if complete != (s.want != "") || complete && string(got) != s.want {
					t.Errorf("step %d: %q, complete %v, want %q", i, got, complete, s.want)
				}
			}
		})
	}
}

// Guards the layout of stream messages against accidental changes: a 0 and a complete packet, or a 1, the packet's number, the part's
// position, the number of parts and the part.
func TestMessageLayout(t *testing.T) {
	routes := map[string]string{}
	route := func(to string) (string, bool) { return routes[to], true }
	a, b := listen(t, "a", time.UnixMicro(1), route), listen(t, "b", time.UnixMicro(1), route)
	routes["b"] = b.Addr()
	messages := make(chan string, 10)
	b.Handle(streams.StateStore, func(_ string, body []byte) { messages <- string(body) })
	sender, receiver := &Node{streams: a}, &reassembler{}
	for _, c := range []struct {
		name, body string
		headers    []string
	}{
		{"complete packet", "whole", []string{"\x00"}},
		{"three parts", strings.Repeat("x", 600_000), []string{
			"\x01\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x03", "\x01\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x03", "\x01\x00\x00\x00\x01\x00\x00\x00\x02\x00\x00\x00\x03"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender.sendPacket(raftstore.Send{To: "b", Body: []byte(c.body)}, func(int) bool { return true })
			for i, header := range c.headers {
				want := header + c.body[i<<18:min((i+1)<<18, len(c.body))]
				select {
				case got := <-messages:
					if got != want {
						t.Fatalf("part %d of %d was sent as %.20q, want %.20q", i+1, len(c.headers), got, want)
					}
				case <-time.After(testTimeout):
					t.Fatalf("part %d of %d did not arrive", i+1, len(c.headers))
				}
				packet, complete := receiver.add("a", []byte(want))
				if complete != (i == len(c.headers)-1) || complete && string(packet) != c.body {
					t.Errorf("part %d of %d: reassembled as %.20q, complete %v", i+1, len(c.headers), packet, complete)
				}
			}
		})
	}
}
