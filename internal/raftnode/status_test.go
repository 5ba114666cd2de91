package raftnode

import (
	"bytes"
	"encoding/json"
	"maps"
	"testing"

	"github.com/rs/zerolog"

	"marblespan/internal/raftstore"
)

// The messages and field names of the log lines of notices and counters must not change, because operators and the test cluster read
// them.
func TestLogLines(t *testing.T) {
	for _, c := range []struct {
		name string
		log  func(n *Node)
		want map[string]any
	}{
		{"notice with all fields", func(n *Node) {
			n.logNotice(raftstore.Notice{Kind: raftstore.NoticeStoreRemoved, Group: 2, Epoch: 3, Number: 4, Name: "gw-1", Cause: "full"})
		}, map[string]any{
			"level": "warn", "message": "copies", "what": "disk_gone", "group": 2.0, "epoch": 3.0, "number": 4.0, "node": "gw-1", "cause": "full",
		}},
		{"notice without fields", func(n *Node) { n.logNotice(raftstore.Notice{Kind: raftstore.NoticeBecameLeader}) }, map[string]any{
			"level": "info", "message": "copies", "what": "leads",
		}},
		{"counters", func(n *Node) {
			n.Counters.Sent.Store(1)
			n.Counters.SentBytes.Store(2)
			n.Counters.SendFailures.Store(3)
			n.Counters.Received.Store(4)
			n.Counters.EventsDropped.Store(5)
			n.Counters.Writes.Store(6)
			n.Counters.Responses[raftstore.StatusOK].Store(7)
			n.Counters.Notices[raftstore.NoticeStoreRemoved].Store(8)
			n.LogCounters()
		}, map[string]any{
			"level": "info", "message": "state store counters", "sent": 1.0, "sent_bytes": 2.0, "not_sent": 3.0, "received": 4.0, "overrun": 5.0,
			"writes": 6.0, "answered_ok": 7.0, "noticed_disk_gone": 8.0,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			c.log(&Node{log: zerolog.New(&out)})
			var got map[string]any
			if err := json.Unmarshal(out.Bytes(), &got); err != nil {
				t.Fatalf("%v: %s", err, out.Bytes())
			}
			if !maps.Equal(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
