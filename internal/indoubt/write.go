package indoubt

import "marblespan/internal/clock"

// write is a client's write request that is in flight at this gateway.
type write struct {
	request    RequestReceived
	receivedAt clock.Micros
	phase      phase
	client     clientState
	call       pendingCall
	intent     Intent // the intent that was last read, or that is to be stored
	version    uint64 // last known version of the stored intent; 0 if there is none
	sending    sending
	takeover   takeover
	retryAt    clock.Micros // in awaitingOwner, storingOutcome and rereadingIntent: the time of the next store call
	// outcomeDeadline is the time at which the resolver stops trying to store the outcome. While the client still waits,
	// outcomeDeadline is the time at which the client gets its answer whether or not the outcome is stored.
	outcomeDeadline clock.Micros
	followed        uint64 // in followingWrite: the ID of the request that this write's request follows
}

// phase is the step that a write is at, named by what the write waits for.
type phase uint8

const (
	claiming        phase = iota // the claim is being stored
	readingIntent                // the stored intent is being read
	awaitingOwner                // another gateway owns the intent and may still store its outcome
	takingOver                   // another gateway's claim is being taken over
	lookingUp                    // a lookup is reading whether the write ran
	routed                       // claimed, and in routing
	confirmingClaim              // in routing; the claim is being read again before an attempt is permitted
	storingOutcome               // the outcome is being stored
	rereadingIntent              // storing the outcome conflicted with another version, which is being read
	followingWrite               // this gateway has the same write in flight for another request
	finished                     // removed at the end of the current event
)

// phaseNames appear in the answers on the control socket.
var phaseNames = [finished]string{
	"claiming", "reading", "waiting", "taking_over", "looking", "under_way", "confirming", "settling", "settling", "following",
}

// clientState records whether the client still waits for its final answer.
type clientState uint8

const (
	clientWaiting clientState = iota
	clientAnswered
	clientCanceled
)

// pendingCall is the store call that a write waits for.
type pendingCall struct {
	id        uint64 // 0 if there is none
	startedAt clock.Micros
}

// sending is the state of a claimed write that is in routing: whether its attempts may be sent.
type sending struct {
	state           sendState
	validUntil      clock.Micros // until this time an attempt may be permitted without confirming the claim
	attempt         uint64       // in confirmingClaim: the attempt that waits for permission
	attemptDeadline clock.Micros // in confirmingClaim: the time at which the attempt stops waiting for permission
}

// sendState records whether an attempt has been permitted, and whether further attempts may be.
type sendState uint8

const (
	notPermitted      sendState = iota // no attempt has been permitted yet: the write has not run
	permittedOnce                      // at least one attempt was permitted: the write may have run
	fencedUnsent                       // no attempt was permitted, and none will be permitted
	fencedAfterPermit                  // at least one attempt was permitted, and no further attempt will be permitted
)

func (s sendState) fenced() bool { return s == fencedUnsent || s == fencedAfterPermit }

// mayHaveRun reports whether an attempt was permitted, so that the write may have run.
func (s sendState) mayHaveRun() bool { return s == permittedOnce || s == fencedAfterPermit }

// permit returns the state after an attempt was permitted.
func (s sendState) permit() sendState {
	if s.fenced() {
		return fencedAfterPermit
	}
	return permittedOnce
}

// fence returns the state in which no further attempt is permitted.
func (s sendState) fence() sendState {
	if s.mayHaveRun() {
		return fencedAfterPermit
	}
	return fencedUnsent
}

// takeover is the progress of resolving another gateway's intent.
type takeover struct {
	ownerDeadline clock.Micros // from this time on the owner can no longer store an outcome
	reclaimed     bool         // the intent was missing and the write was claimed again; done at most once
	lookupStarted bool         // a lookup was started while the owner may still store the outcome; such a lookup is done at most once
}

// mayBeRepeat reports whether the request may repeat an earlier request.
func (w *write) mayBeRepeat() bool { return w.request.Repeat || !w.request.Policy.RepeatsMarked }

// inRouting reports whether the write was passed to routing and routing has not answered yet.
func (w *write) inRouting() bool { return w.phase == routed || w.phase == confirmingClaim }

// notSentAnswer returns the answer to a request for which nothing was sent. For a marked repeat the answer is Failed, not
// Rejected, because the first request may have run.
func (w *write) notSentAnswer() AnswerKind {
	if w.request.Repeat {
		return Failed
	}
	return Rejected
}
