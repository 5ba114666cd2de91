package raftnode

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/raftstore"
)

// Counters counts a node's activity since its start.
type Counters struct {
	Sent, SentBytes, SendFailures atomic.Int64 // stream messages to other gateways, their bytes, and failures to send
	Received                      atomic.Int64 // complete packets
	EventsDropped                 atomic.Int64 // packets dropped because the inbox was full
	Writes                        atomic.Int64 // writes to the storage file
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

// noticeLevel returns the log level of a notice. It is a warning if an operator should look into the notice.
func noticeLevel(notice raftstore.NoticeKind) zerolog.Level {
	switch notice {
	case raftstore.NoticeGroupLost, raftstore.NoticeDiskFailed, raftstore.NoticeForeignCluster, raftstore.NoticeMemberStale, raftstore.NoticeStoreRemoved, raftstore.NoticeStoreRenumbered, raftstore.NoticeFormatTooOld:
		return zerolog.WarnLevel
	case raftstore.NoticeMemberRecovered:
		return zerolog.DebugLevel
	}
	return zerolog.InfoLevel
}

// noticeMessage is the message of a notice's log line. The test cluster finds the lines of notices by this text.
const noticeMessage = "copies"

// logNotice counts and logs a notice of the host.
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

// Overview returns an overview of the host's state. It is empty if the node is closing.
func (n *Node) Overview() (o raftstore.Overview) {
	n.onEventLoop(func(now raftstore.Overview) error { o = now; return nil })
	return o
}

// awaitInterval is how often AwaitComplete and AwaitIncomplete check the state.
const awaitInterval = 5 * time.Millisecond

// AwaitComplete waits until, according to this gateway's copy of the ledger, every group has all its voters and no change is pending
// (raftstore.Overview.Complete). It returns false if that takes longer than timeout.
func (n *Node) AwaitComplete(timeout time.Duration) bool {
	return n.awaitComplete(timeout, true)
}

// AwaitIncomplete waits until the condition of AwaitComplete does not hold. It returns false if that takes longer than timeout.
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
