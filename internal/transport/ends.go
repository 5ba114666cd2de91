package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// Reason is why a connection ended. String returns its code in logs and counters, which docs/oncall.md explains. The codes must
// not change, because operators' alerts match them.
type Reason uint8

// The reasons.
const (
	EndPeerClosed         Reason = iota // the peer closed the connection between requests
	EndPeerReset                        // the peer reset the connection, or another network error ended the connection
	EndClientDisconnected               // a client closed the connection while its request was in flight
	EndTerminate                        // the client sent Terminate
	EndIdle                             // the connection was idle for too long
	EndEvicted                          // the connection was closed while idle, to free its descriptor for another connection
	EndDraining                         // the connection was closed because the gateway is shutting down
	EndAbandoned                        // an attempt on the connection was abandoned
	EndTimeout                          // a read or write reached its deadline
	EndConnectionRefused                // the peer's operating system refused the connection
	EndUnreachable                      // the connection was not established in time
	EndRejected                         // the server rejected the connection during start-up
	EndProtocol                         // the peer violated the protocol
	EndCancelRequest                    // the client sent a CancelRequest, which is the only message of its connection
	EndReplaced                         // another call or address replaced the connection, or the connection must not be used any more
	EndServerFailed                     // the server sent a fatal error or surplus bytes, or ended the connection in place of ReadyForQuery
	EndStatus                           // discovery answered with a status other than 200
	EndCompleted                        // the complete answer has been read
	EndDescriptors                      // no descriptor was left for the connection
	EndAddressMigrated                  // the floating IP address that the connection used migrated to another gateway
	EndMaintenance                      // the gateway is entering maintenance
	reasons
)

var reasonCodes = [reasons]string{
	"peer_closed", "peer_reset", "peer_gone", "terminate", "idle", "room", "drain", "abandoned", "timeout",
	"refused", "unreachable", "turned_away", "protocol", "cancel_request", "replaced", "server_failed", "status",
	"done", "descriptors", "moved", "maintenance",
}

// String returns the reason's code.
func (r Reason) String() string { return reasonCodes[r] }

// ReasonOf returns the reason for a connection that ended with a read, write or dial error.
func ReasonOf(err error) Reason {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return EndPeerClosed
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, ErrDeadline):
		return EndTimeout
	case errors.Is(err, syscall.ECONNREFUSED):
		return EndConnectionRefused
	}
	return EndPeerReset
}

// DialReason returns the reason for an error of Dial.
func DialReason(err error) Reason {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrNoDescriptor):
		return EndDescriptors
	case errors.As(err, &timeout) && timeout.Timeout():
		return EndUnreachable
	}
	return ReasonOf(err)
}

// Party is the kind of peer at the other end of a connection.
type Party uint8

// The parties.
const (
	Client Party = iota
	Server
	Discovery
	parties
)

var partyNames = [parties]string{"client", "server", "discovery"}

// EndRecorder logs and counts ended connections. It is safe for concurrent use.
type EndRecorder struct {
	log    zerolog.Logger
	counts [parties][reasons]atomic.Int64
}

// NewEndRecorder returns a recorder that writes to log.
func NewEndRecorder(log zerolog.Logger) *EndRecorder { return &EndRecorder{log: log} }

// Record logs and counts the end of one connection. since is the time at which the connection was opened, and served is the number
// of requests that the connection has served. cause may be nil.
func (e *EndRecorder) Record(party Party, remote string, reason Reason, since time.Time, served int, cause error) {
	e.counts[party][reason].Add(1)
	line := e.log.Info().Str("party", partyNames[party]).Str("peer", remote).Stringer("reason", reason).
		Int64("age_ms", time.Since(since).Milliseconds()).Int("served", served)
	if cause != nil && !errors.Is(cause, io.EOF) && !errors.Is(cause, net.ErrClosed) {
		line = line.Str("cause", cause.Error())
	}
	line.Msg("connection ended")
}

// Each calls the function count for every pair of party and reason whose counter is not zero.
func (e *EndRecorder) Each(count func(party string, reason Reason, n int64)) {
	for p := range e.counts {
		for r := range e.counts[p] {
			if n := e.counts[p][r].Load(); n > 0 {
				count(partyNames[p], Reason(r), n)
			}
		}
	}
}
