// Package intents joins the desk of bookings in doubt (internal/indoubt) to the world: one goroutine around it, the store of copies,
// the clients' side of each booking, and reads that show whether one ran. It decides nothing.
package intents

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"marblespan/internal/clock"
	"marblespan/internal/indoubt"
)

// Store keeps records (internal/raftnode). None of its methods blocks; done is called once, on any goroutine.
type Store interface {
	// Put changes a record if its version is this one; 0: if there is none.
	Put(key, value []byte, version uint64, span time.Duration, by time.Time, done func(StoreReply))
	Get(key []byte, by time.Time, done func(StoreReply))
}

// Stored is what came of a call.
type StoreReply struct {
	Result         indoubt.Result
	Version        uint64
	Value          []byte
	Found          bool
	PossiblyLost   bool          // what is not found may have been lost
	Age, SinceLoss time.Duration // of a record since its last change, and since a loss, at the least
}

// Class is what the operators' file says of one.
type Class struct {
	indoubt.Policy
	LookupClass string // the class of reads that show whether a booking ran; empty: none does
	LookupText  string // a text that such a read's value has if it did; empty: the value that the booking wrote
}

// Settings are those of a gateway.
type Settings struct {
	Node        string
	Incarnation uint64
	Classes     map[string]Class
	Now         func() clock.Micros
	ToTime      func(clock.Micros) time.Time
	Log         zerolog.Logger
	// Look reads a key at the primary, as of now. done is told the row's value and the answer as it would be passed on; it is
	// called once, on any goroutine.
	Lookup func(class, key string, group int, by time.Time, done func(row, answer []byte, ok bool))
}

// The desk's bounds and spans.
const (
	sendWindow     = 250 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
	ownerGrace     = 500 * time.Millisecond
	outcomeTimeout = 5 * time.Second
)

// mostLines bounds the log, in lines a second.
const maxLogLines = 200

// MostKept is the largest answer that is kept, in bytes.
const MaxStoredAnswer = 4 << 10

// Client is the side of a booking that its client is on. Its methods are called on the goroutine of the desk, and must not block
// for long.
type Client interface {
	// Route sends the booking on its way. Its final answer is to be given to Told.
	Route()
	// Drop tells that it will not be routed.
	Drop()
	// Reply is the final answer for the client. Without a value a served one is as Told had it.
	Reply(kind indoubt.AnswerKind, value []byte)
}

// Asked is a booking that a client asks for.
type Request struct {
	ID        string // the client's id
	Class     string
	Group     int
	Key       string // the key in its statement
	Statement []byte // the statement without its comment
	Value     []byte // the value in it
	Repeat    bool
	Deadline  time.Time
}

// Claim is a booking as its client's side has it. Told, Gone and Ask do not block.
type Write interface {
	// Ask takes the booking in hand. Its client is told at once, or later, to route it, or its answer.
	Begin()
	// Told takes routing's final answer. Value is nil where it is too large to be kept.
	RoutingAnswered(kind indoubt.AnswerKind, value []byte)
	// Gone tells that the client waits no longer.
	Cancel()
	// May tells whether the last byte of an attempt may be written now, and waits for the word.
	MaySend(ctx context.Context, server string, by time.Time) bool
}

// Desk is all bookings, as the gateway knows them: a gateway without them links none of this.
type Resolver interface {
	Covers(class string) bool
	NewWrite(Request, Client) Write
	SetStore(Store)
	GatewayEnded(node string, life uint64)
	InFlight() []indoubt.InFlightWrite
	TransitionCount(indoubt.Transition) int64
	// Fail gives whoever waits here for anything but routing its final answer: the gateway is about to end.
	StartShutdown()
	WaitIdle(bound time.Duration) bool
	Close()
}

// Booking is one that is in hand.
type write struct {
	service *Service
	id      uint64
	request Request
	client  Client
	routed  bool      // by the goroutine only, as the next one is
	permit  chan bool // of the attempt that waits; nil: none does
}

// Bookings has all of them in hand.
type Service struct {
	settings   Settings
	resolver   *indoubt.Resolver
	logLimiter *rate.Limiter

	transitionCounts [indoubt.Transitions]atomic.Int64
	store            atomic.Pointer[Store]
	lastID           atomic.Uint64

	mu    sync.Mutex
	queue []func() // bounded by what is in hand
	wake  chan struct{}
	quit  chan struct{}
	done  chan struct{}

	writes map[uint64]*write // by the goroutine only
}

// New starts the goroutine.
func New(s Settings) *Service {
	b := &Service{
		settings: s, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}), writes: map[uint64]*write{}, logLimiter: rate.NewLimiter(maxLogLines, 2*maxLogLines),
		resolver: indoubt.New(indoubt.Config{
			Gateway: s.Node, Incarnation: s.Incarnation, SendWindow: micros(sendWindow), PollInterval: micros(pollInterval), OwnerGrace: micros(ownerGrace), OutcomeTimeout: micros(outcomeTimeout),
		}),
	}
	go b.run()
	return b
}

func micros(d time.Duration) clock.Micros { return clock.Micros(d.Microseconds()) }

// Use gives it its store. Before it has one nothing can be promised.
func (b *Service) SetStore(s Store) { b.store.Store(&s) }

// Concerns tells whether bookings of a class are claimed before they are sent.
func (b *Service) Covers(class string) bool {
	_, does := b.settings.Classes[class]
	return does
}

// Key is the name that a booking has in the store: what makes two requests the same booking.
func Key(class string, group int, words []byte) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %d ", class, group)
	sum.Write(words)
	return "booking " + string(sum.Sum(nil))
}

// New makes a booking, of which nothing happens before Ask.
func (b *Service) NewWrite(a Request, client Client) Write {
	return &write{service: b, id: b.lastID.Add(1), request: a, client: client}
}

// Ask takes the booking in hand. Its client is told at once, or later, to route it, or its answer.
func (x *write) Begin() {
	b, a := x.service, &x.request
	by := b.settings.Now() + micros(time.Until(a.Deadline))
	b.post(func() {
		b.writes[x.id] = x
		b.handle(indoubt.RequestReceived{
			ID: x.id, Key: Key(a.Class, a.Group, a.Statement), RequestID: a.ID, Class: a.Class, Group: a.Group, Repeat: a.Repeat, Deadline: by,
			Policy: b.settings.Classes[a.Class].Policy,
		})
	})
}

// Told takes routing's final answer. Value is nil where it is too large to be kept.
func (x *write) RoutingAnswered(kind indoubt.AnswerKind, value []byte) {
	x.service.post(func() {
		x.service.handle(indoubt.RoutingAnswered{ID: x.id, Kind: kind, Value: value, ValueComplete: value != nil})
	})
}

// Gone tells that the client waits no longer.
func (x *write) Cancel() {
	x.service.post(func() { x.service.handle(indoubt.RequestCanceled{ID: x.id}) })
}

// May tells whether the last byte of an attempt may be written now, and waits for the word.
func (x *write) MaySend(ctx context.Context, server string, by time.Time) bool {
	b, permit := x.service, make(chan bool, 1)
	until := b.settings.Now() + micros(time.Until(by))
	b.post(func() {
		x.permit = permit
		b.handle(indoubt.PermissionRequested{ID: x.id, Server: server, Deadline: until})
	})
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case ok := <-permit:
		return ok
	case <-ctx.Done():
	case <-late.C:
	case <-b.quit:
	}
	return false
}

// Ended tells that a gateway's life is over, and all before.
func (b *Service) GatewayEnded(node string, life uint64) {
	b.post(func() { b.handle(indoubt.GatewayEnded{Gateway: node, Incarnation: life}) })
}

// Noticed is how often something was noticed since the start.
func (b *Service) TransitionCount(n indoubt.Transition) int64 { return b.transitionCounts[n].Load() }

// post has the goroutine do something. It never blocks: the owner of the decision module calls it.
func (b *Service) post(do func()) {
	b.mu.Lock()
	b.queue = append(b.queue, do)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Service) run() {
	defer close(b.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if at, due := b.resolver.Next(); due {
			timer.Reset(max(time.Until(b.settings.ToTime(at)), 0))
		}
		select {
		case <-b.quit:
			return
		case <-timer.C:
			b.handle(indoubt.Tick{})
		case <-b.wake:
		}
		b.mu.Lock()
		all := b.queue
		b.queue = nil
		b.mu.Unlock()
		for _, do := range all {
			do()
		}
	}
}

// handle hands the desk an event and carries out what comes of it.
func (b *Service) handle(ev indoubt.Event) {
	for _, a := range b.resolver.Handle(b.settings.Now(), ev) {
		switch a := a.(type) {
		case indoubt.Put:
			b.put(a)
		case indoubt.Get:
			b.get(a)
		case indoubt.Route:
			if x := b.writes[a.ID]; x != nil {
				x.routed = true
				x.client.Route()
			}
		case indoubt.Permit:
			if x := b.writes[a.ID]; x != nil && x.permit != nil {
				x.permit <- a.Granted
				x.permit = nil
			}
		case indoubt.Reply:
			if x := b.writes[a.ID]; x != nil {
				x.client.Reply(a.Kind, a.Value)
			}
		case indoubt.LookUp:
			b.lookUp(a)
		case indoubt.Finished:
			if x := b.writes[a.ID]; x != nil && !x.routed {
				x.client.Drop()
			}
			delete(b.writes, a.ID)
		case indoubt.LogTransition:
			b.logTransition(a)
		}
	}
}

func (b *Service) put(p indoubt.Put) {
	s := b.store.Load()
	raw, err := json.Marshal(&p.Intent)
	if s == nil || err != nil {
		b.post(func() { b.handle(indoubt.StoreReplied{Call: p.Call, Result: indoubt.NotApplied}) })
		return
	}
	(*s).Put([]byte(p.Key), raw, p.Version, time.Duration(p.Retention)*time.Microsecond, b.settings.ToTime(p.Deadline), b.stored(p.Call))
}

func (b *Service) get(g indoubt.Get) {
	s := b.store.Load()
	if s == nil {
		b.post(func() { b.handle(indoubt.StoreReplied{Call: g.Call, Result: indoubt.NotApplied}) })
		return
	}
	(*s).Get([]byte(g.Key), b.settings.ToTime(g.Deadline), b.stored(g.Call))
}

func (b *Service) stored(call uint64) func(StoreReply) {
	return func(x StoreReply) {
		ev := indoubt.StoreReplied{Call: call, Result: x.Result, Version: x.Version, PossiblyLost: x.PossiblyLost, Age: micros(x.Age), SinceLoss: micros(x.SinceLoss)}
		if x.Found {
			var r indoubt.Intent
			if json.Unmarshal(x.Value, &r) != nil { // of a version that this one cannot read: all that is known is that it is there
				r = indoubt.Intent{State: indoubt.InDoubt}
			}
			ev.Intent = &r
		}
		b.post(func() { b.handle(ev) })
	}
}

func (b *Service) lookUp(l indoubt.LookUp) {
	x := b.writes[l.ID]
	class := b.settings.Classes[x.request.Class]
	b.settings.Lookup(class.LookupClass, x.request.Key, x.request.Group, b.settings.ToTime(l.Deadline), func(row, answer []byte, ok bool) {
		shown := ok && (class.LookupText != "" && bytes.Contains(row, []byte(class.LookupText)) || class.LookupText == "" && bytes.Equal(row, x.request.Value))
		b.post(func() { b.handle(indoubt.LookupAnswered{ID: l.ID, Found: shown, Value: answer}) })
	})
}

// noticed tells the log of what is not ordinary, by words that one booking can be followed by through all gateways.
func (b *Service) logTransition(n indoubt.LogTransition) {
	b.transitionCounts[n.Transition].Add(1)
	if !b.logLimiter.Allow() {
		return // clients that ask again in haste must not flood the log; the counters have all
	}
	line := b.settings.Log.Info()
	switch n.Transition {
	case indoubt.Claimed, indoubt.Released:
		line = b.settings.Log.Debug()
	case indoubt.OutcomeNotStored:
		line = b.settings.Log.Warn()
	}
	line.Stringer("what", n.Transition).Str("booking", ShortKey(n.Key)).Str("id", n.RequestID).Stringer("state", n.Intent.State).
		Str("owner", n.Intent.Owner).Uint64("life", n.Intent.Incarnation).Uint32("attempt", n.Intent.ClaimCount).Str("claimed_for", n.Intent.RequestID).Msg("booking in doubt")
}

// Short is a booking's name as logs and commands have it.
func ShortKey(key string) string {
	if len(key) < 16 {
		return key
	}
	return hex.EncodeToString([]byte(key[len(key)-8:]))
}

// Views lists what is in hand.
func (b *Service) InFlight() (all []indoubt.InFlightWrite) {
	ran := make(chan struct{})
	b.post(func() {
		all = b.resolver.InFlight(b.settings.Now())
		close(ran)
	})
	select {
	case <-ran:
		return all
	case <-b.quit:
		return nil
	}
}

// Fail gives whoever waits for the store its final answer.
func (b *Service) StartShutdown() { b.post(func() { b.handle(indoubt.ShutdownStarted{}) }) }

// Settle waits until nothing is in hand, within a bound. It tells whether it came to that.
func (b *Service) WaitIdle(bound time.Duration) bool {
	for late := time.Now().Add(bound); len(b.InFlight()) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(late) {
			return false
		}
	}
	return true
}

// Close ends it.
func (b *Service) Close() {
	close(b.quit)
	<-b.done
}
