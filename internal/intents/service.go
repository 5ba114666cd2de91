package intents

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"marblespan/internal/clock"
	"marblespan/internal/indoubt"
)

// The durations in indoubt.Config.
const (
	sendWindow     = 250 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
	ownerGrace     = 500 * time.Millisecond
	outcomeTimeout = 5 * time.Second
)

// idlePollInterval is how often WaitIdle checks whether writes are in flight.
const idlePollInterval = 5 * time.Millisecond

// Service gives events to the indoubt.Resolver of one gateway and carries out its actions. It implements this package's Resolver
// interface.
type Service struct {
	settings         Settings
	logLimiter       *rate.Limiter
	transitionCounts [indoubt.Transitions]atomic.Int64
	store            atomic.Pointer[Store]
	lastID           atomic.Uint64

	mu    sync.Mutex
	queue []func()      // functions for the goroutine to call; bounded by the number of writes in flight
	wake  chan struct{} // holds a message while queue may have entries

	quit    chan struct{} // closed by Close
	running sync.WaitGroup

	// Only the goroutine accesses the fields below.
	resolver *indoubt.Resolver
	writes   map[uint64]*write
}

// New returns a Service and starts its goroutine, which Close ends.
func New(settings Settings) *Service {
	s := &Service{
		settings: settings, logLimiter: rate.NewLimiter(maxLogLines, 2*maxLogLines),
		wake: make(chan struct{}, 1), quit: make(chan struct{}), writes: map[uint64]*write{},
		resolver: indoubt.New(indoubt.Config{
			Gateway: settings.Node, Incarnation: settings.Incarnation, SendWindow: micros(sendWindow), PollInterval: micros(pollInterval),
			OwnerGrace: micros(ownerGrace), OutcomeTimeout: micros(outcomeTimeout),
		}),
	}
	s.running.Go(s.run)
	return s
}

// Close ends the goroutine and waits for it to return. Writes that are still in flight get no answer.
func (s *Service) Close() {
	close(s.quit)
	s.running.Wait()
}

// Covers reports whether writes of a class are claimed before they are sent.
func (s *Service) Covers(class string) bool {
	_, covered := s.settings.Classes[class]
	return covered
}

// SetStore sets the store. Every write is rejected until a store is set.
func (s *Service) SetStore(store Store) { s.store.Store(&store) }

// GatewayEnded informs the service that an incarnation of a gateway and all its earlier incarnations have ended.
func (s *Service) GatewayEnded(gateway string, incarnation uint64) {
	s.post(func() { s.handle(indoubt.GatewayEnded{Gateway: gateway, Incarnation: incarnation}) })
}

// StartShutdown gives every client whose write is not in routing its final answer. It returns when that is done.
func (s *Service) StartShutdown() {
	done := make(chan struct{})
	s.post(func() {
		s.handle(indoubt.ShutdownStarted{})
		close(done)
	})
	select {
	case <-done:
	case <-s.quit:
	}
}

// InFlight lists the writes in flight. After Close it returns nil.
func (s *Service) InFlight() []indoubt.InFlightWrite {
	listed := make(chan []indoubt.InFlightWrite, 1)
	s.post(func() { listed <- s.resolver.InFlight(s.settings.Now()) })
	select {
	case all := <-listed:
		return all
	case <-s.quit:
		return nil
	}
}

// WaitIdle waits until no write is in flight, but at most for timeout. It reports whether no write is in flight.
func (s *Service) WaitIdle(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); len(s.InFlight()) > 0; time.Sleep(idlePollInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// post makes the service's goroutine call the function do. post must never block, because the goroutine of routing calls post.
// Callers construct the indoubt.Event inside that function, because passing an event as an argument would cost one more
// allocation.
func (s *Service) post(do func()) {
	s.mu.Lock()
	s.queue = append(s.queue, do)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is the main loop of the service's goroutine.
func (s *Service) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if at, due := s.resolver.Next(); due {
			timer.Reset(max(time.Until(s.settings.ToTime(at)), 0))
		}
		select {
		case <-s.quit:
			return
		case <-timer.C:
			s.handle(indoubt.Tick{})
		case <-s.wake:
		}
		for _, do := range s.takeQueue() {
			do()
		}
	}
}

func (s *Service) takeQueue() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queue
	s.queue = nil
	return queue
}

// handle gives the resolver an event and carries out its actions.
func (s *Service) handle(ev indoubt.Event) {
	for _, action := range s.resolver.Handle(s.settings.Now(), ev) {
		s.perform(action)
	}
}

func (s *Service) perform(action indoubt.Action) {
	switch action := action.(type) {
	case indoubt.Put:
		s.put(action)
	case indoubt.Get:
		s.get(action)
	case indoubt.Route:
		if w := s.writes[action.ID]; w != nil {
			w.routed = true
			w.client.Route()
		}
	case indoubt.Permit:
		if w := s.writes[action.ID]; w != nil && w.permission != nil {
			w.permission <- action.Granted
			w.permission = nil
		}
	case indoubt.Reply:
		if w := s.writes[action.ID]; w != nil {
			w.client.Reply(action.Kind, action.Value)
		}
	case indoubt.Lookup:
		s.startLookup(action)
	case indoubt.Finished:
		s.finish(action.ID)
	case indoubt.LogTransition:
		s.logTransition(action)
	}
}

// startLookup starts reading the row that shows whether a write ran.
func (s *Service) startLookup(l indoubt.Lookup) {
	w := s.writes[l.ID]
	class := s.settings.Classes[w.request.Class]
	s.settings.Lookup(class.LookupClass, w.request.Key, w.request.Group, s.settings.ToTime(l.Deadline), func(row, answer []byte, ok bool) {
		s.post(func() {
			waiting := s.writes[l.ID] == w && !w.routed
			found := ok && waiting && class.shows(row, w.request.Writes)
			s.handle(indoubt.LookupAnswered{ID: l.ID, Found: found, Value: answer, TooLarge: len(answer) > MaxStoredAnswer})
		})
	})
}

// shows reports whether a row that was read by a lookup shows that a write ran. writes reports whether the write stores a value.
func (c Class) shows(row []byte, writes func(value []byte) bool) bool {
	if c.LookupText != "" {
		return bytes.Contains(row, []byte(c.LookupText))
	}
	return writes(row)
}

// finish removes a write that the resolver has finished.
func (s *Service) finish(id uint64) {
	w := s.writes[id]
	if w == nil {
		return
	}
	delete(s.writes, id)
	if !w.routed {
		w.client.Drop()
	}
	w.client.Finished()
}

func micros(d time.Duration) clock.Micros { return clock.Micros(d.Microseconds()) }

func duration(m clock.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
