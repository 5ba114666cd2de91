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

// Reason says why a connection ended. docs/oncall.md explains each code.
type Reason uint8

// The reasons.
const (
	EndPeerClosed         Reason = iota // the peer closed it between requests
	EndPeerReset                        // the peer, or its machine, reset it
	EndClientDisconnected               // a client closed it while its request was out
	EndTerminate                        // the client said goodbye
	EndIdle                             // it was idle for too long
	EndEvicted                          // closed idle to make room for another
	EndDraining                         // closed because the gateway is stopping
	EndAbandoned                        // an attempt on it was given up
	EndTimeout                          // a read or write took too long
	EndConnectionRefused                // the server refused the connection
	EndUnreachable                      // the connection never came up in time
	EndRejected                         // the server turned it away at its start
	EndProtocol                         // the peer broke the protocol
	EndCancelRequest                    // it only carried a cancel request
	EndReplaced                         // another took its place, or the module asked for its end
	EndServerFailed                     // the server ended it with an error, or after an answer
	EndStatus                           // discovery answered with another status than 200
	EndCompleted                        // all that was asked for has been read
	EndDescriptors                      // no descriptor was free for it
	EndAddressMigrated                  // the floating address it came over went to another gateway
	EndMaintenance                      // the gateway is about to be out for maintenance
	reasons
)

var reasonCodes = [reasons]string{
	"peer_closed", "peer_reset", "peer_gone", "terminate", "idle", "room", "drain", "abandoned", "timeout",
	"refused", "unreachable", "turned_away", "protocol", "cancel_request", "replaced", "server_failed", "status",
	"done", "descriptors", "moved", "maintenance",
}

// String is the reason's code.
func (r Reason) String() string { return reasonCodes[r] }

// ReasonOf is the reason behind an error of the network.
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

// DialReason is the reason behind a connection that did not come up.
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

// Party is who is at the other end of a connection.
type Party uint8

// The parties.
const (
	Client Party = iota
	Server
	Discovery
	parties
)

var partyNames = [parties]string{"client", "server", "discovery"}

// Ends logs and counts how connections end: one line and one count each.
type EndRecorder struct {
	log    zerolog.Logger
	counts [parties][reasons]atomic.Int64
}

// NewEnds makes a log of ends.
func NewEndRecorder(log zerolog.Logger) *EndRecorder { return &EndRecorder{log: log} }

// End notes the end of one connection.
func (e *EndRecorder) Record(party Party, remote string, reason Reason, since time.Time, served int, cause error) {
	e.counts[party][reason].Add(1)
	line := e.log.Info().Str("party", partyNames[party]).Str("peer", remote).Stringer("reason", reason).
		Int64("age_ms", time.Since(since).Milliseconds()).Int("served", served)
	if cause != nil && !errors.Is(cause, io.EOF) && !errors.Is(cause, net.ErrClosed) {
		line = line.Str("cause", cause.Error())
	}
	line.Msg("connection ended")
}

// Each hands over the counts that are not zero.
func (e *EndRecorder) Each(count func(party string, reason Reason, n int64)) {
	for p := range e.counts {
		for r := range e.counts[p] {
			if n := e.counts[p][r].Load(); n > 0 {
				count(partyNames[p], Reason(r), n)
			}
		}
	}
}
