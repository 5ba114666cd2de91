package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"marblespan/internal/config"
	"marblespan/internal/fake"
)

// markStore is a Store of session positions that all keys share. The methods that sessions do not use are missing.
type markStore struct {
	Store
	mu       sync.Mutex
	position uint64
	replies  func(done func()) // calls done when a call is to complete; without it the call waits until its deadline
}

func (s *markStore) Available([]byte) bool { return true }

func (s *markStore) RaisePosition(_ []byte, position uint64, _ time.Duration, deadline time.Time, done func(bool)) {
	s.reply(deadline, func(known bool) {
		s.mu.Lock()
		s.position = max(s.position, position)
		s.mu.Unlock()
		done(known)
	})
}

func (s *markStore) ReadPosition(_ []byte, deadline time.Time, done func(position uint64, known bool)) {
	s.reply(deadline, func(known bool) {
		s.mu.Lock()
		position := s.position
		s.mu.Unlock()
		done(position, known)
	})
}

func (s *markStore) reply(deadline time.Time, done func(known bool)) {
	if s.replies == nil {
		time.AfterFunc(time.Until(deadline), func() { done(false) })
		return
	}
	s.replies(func() { done(true) })
}

// withMarkStore makes a gateway keep the session positions of the test classes in a store; nil: in one that is not open yet.
func withMarkStore(store Store) func(*Gateway) {
	return func(g *Gateway) {
		section := &config.StateStore{SessionMarks: []string{"look", "put"}, MarksMode: "safe", MarksTTL: time.Hour}
		g.positions = newSessionPositions(&config.Operators{StateStore: section}, g.clock)
		if store != nil {
			g.positions.store.Store(&store)
		}
		g.clients.SessionPositions = g.positions
	}
}

// checkStatedPosition makes a replica reject a read whose statement states a position that the replica has not reached.
func checkStatedPosition(replica *fake.Server) {
	replica.SetQueryHandler(func(q *fake.Query) {
		if after, _ := strconv.ParseInt(q.Field("after"), 10, 64); after > replica.Position.Load() {
			q.ReplyError("72000")
			return
		}
		q.ReplyRow([]byte("value of " + q.ID()))
	})
}

// TestMarkOfAnotherGateway guards against session reads that miss a write through another gateway although the write's position is in the
// state store: where servers check reads, the check was left to a replica whose statement does not state that position (incident of
// 2026-12-06, marks of other gateways).
func TestMarkOfAnotherGateway(t *testing.T) {
	const notOpen = "not yet"
	for _, checks := range []string{"none", "bounce", "await"} {
		for _, marks := range []string{"kept", "brought"} {
			for name, replies := range map[string]func(done func()){
				"at once": func(done func()) { done() },
				"late":    func(done func()) { time.AfterFunc(100*time.Millisecond, done) },
				"never":   nil, // for want of a majority
				notOpen:   nil, // in a gateway that has just started
			} {
				t.Run(fmt.Sprintf("checks %s, %s, the store replies %s", checks, marks, name), func(t *testing.T) {
					store := &markStore{replies: replies}
					with := withMarkStore(store)
					if name == notOpen {
						with = withMarkStore(nil)
					}
					w := newTestGateway(t, freshnessSettings(checks, "causal", 0, marks), with)
					checkStatedPosition(w.replica)
					w.primary.Position.Store(time.Now().UnixMilli())
					w.replica.Position.Store(time.Now().UnixMilli()) // and stays there
					eventually(t, w.gateway.isReady, func() string { return "the gateway is not ready" })
					time.Sleep(5 * time.Millisecond)
					written := time.Now().UnixMilli() // through another gateway
					store.mu.Lock()
					store.position = uint64(written) * 1000
					store.mu.Unlock()
					time.Sleep(20 * time.Millisecond)
					client := w.dial()
					for i, after := range []int64{0, written - 10, written} {
						id := fmt.Sprint("r", i)
						sql := strings.Replace(readQuery(id), "d=4000", "d=1200", 1)
						if after > 0 && marks == "brought" {
							sql = strings.Replace(sql, "cluster=7", fmt.Sprint("cluster=7,after=", after), 1)
						}
						w.expectAnswer(client, sql, "value of "+id, "")
					}
					for _, sql := range w.replica.Queries() {
						if after, _ := strconv.ParseInt((&fake.Query{SQL: sql}).Field("after"), 10, 64); after < written {
							t.Errorf("a replica without the session's write served %s", sql)
						}
					}
					if replies == nil {
						return // every read needs all up to now, which only the primary has
					}
					w.replica.Position.Store(time.Now().UnixMilli())
					served := len(w.replica.Queries())
					eventually(t, func() bool {
						w.expectAnswer(client, readQuery("later"), "value of later", "")
						return len(w.replica.Queries()) > served
					}, func() string { return "the replica that has caught up serves no read" })
				})
			}
		}
	}
}
