package raftnode

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/raftstore"
)

// Counters count since the start.
type Counters struct {
	Sent, SentBytes, SendFailures atomic.Int64 // messages to other gateways, and bytes
	Received                      atomic.Int64 // packets
	EventsDropped                 atomic.Int64 // packets that found the inbox full
	Writes                        atomic.Int64 // to the storage file
	Responses                     [raftstore.Statuses]atomic.Int64
	Notices                       [raftstore.NoticeKinds]atomic.Int64
}

// LogCounters logs the counters.
func (n *Node) LogCounters() {
	c := &n.Counters
	line := n.log.Info().Int64("sent", c.Sent.Load()).Int64("sent_bytes", c.SentBytes.Load()).Int64("not_sent", c.SendFailures.Load()).
		Int64("received", c.Received.Load()).Int64("overrun", c.EventsDropped.Load()).Int64("writes", c.Writes.Load())
	for status := range raftstore.Statuses {
		if count := c.Responses[status].Load(); count > 0 {
			line = line.Int64("answered_"+status.String(), count)
		}
	}
	for notice := range raftstore.NoticeKinds {
		if count := c.Notices[notice].Load(); count > 0 {
			line = line.Int64("noticed_"+notice.String(), count)
		}
	}
	line.Msg("state store counters")
}

// noticeLevel is the log level of a notice: a warning for what an operator should look at.
func noticeLevel(notice raftstore.NoticeKind) zerolog.Level {
	switch notice {
	case raftstore.NoticeGroupLost, raftstore.NoticeDiskFailed, raftstore.NoticeForeignCluster, raftstore.NoticeMemberStale, raftstore.NoticeStoreRemoved, raftstore.NoticeStoreRenumbered, raftstore.NoticeFormatTooOld:
		return zerolog.WarnLevel
	case raftstore.NoticeMemberRecovered:
		return zerolog.DebugLevel
	}
	return zerolog.InfoLevel
}

// noticeMessage is the event text of notices. The test cluster reads their lines by it.
const noticeMessage = "copies"

// logNotice counts and logs what the host has noticed.
func (n *Node) logNotice(notice raftstore.Notice) {
	n.Counters.Notices[notice.Kind].Add(1)
	line := n.log.WithLevel(noticeLevel(notice.Kind)).Stringer("what", notice.Kind)
	if notice.Epoch > 0 {
		line = line.Uint32("group", notice.Group).Uint32("epoch", notice.Epoch)
	}
	if notice.Number > 0 {
		line = line.Uint64("number", notice.Number)
	}
	if notice.Name != "" {
		line = line.Str("node", notice.Name)
	}
	if notice.Cause != "" {
		line = line.Str("cause", notice.Cause)
	}
	line.Msg(noticeMessage)
}

// Overview returns the host's state; it is empty if the node is closing.
func (n *Node) Overview() (o raftstore.Overview) {
	n.onEventLoop(func(now raftstore.Overview) error { o = now; return nil })
	return o
}

// awaitInterval is how often AwaitComplete and AwaitIncomplete poll.
const awaitInterval = 5 * time.Millisecond

// AwaitComplete waits until every group has all its voters, by the ledger that is known here. It returns false if that takes
// longer than timeout.
func (n *Node) AwaitComplete(timeout time.Duration) bool {
	return n.awaitComplete(timeout, true)
}

// AwaitIncomplete waits until some group lacks a voter. It returns false if that takes longer than timeout.
func (n *Node) AwaitIncomplete(timeout time.Duration) bool {
	return n.awaitComplete(timeout, false)
}

func (n *Node) awaitComplete(timeout time.Duration, complete bool) bool {
	for deadline := time.Now().Add(timeout); n.Overview().Complete() != complete; time.Sleep(awaitInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
