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
	Put(key, value []byte, version uint64, span time.Duration, by time.Time, done func(Stored))
	Get(key []byte, by time.Time, done func(Stored))
}

// Stored is what came of a call.
type Stored struct {
	Result     indoubt.Result
	Version    uint64
	Value      []byte
	Found      bool
	Lost       bool          // what is not found may have been lost
	Age, Since time.Duration // of a record since its last change, and since a loss, at the least
}

// Class is what the operators' file says of one.
type Class struct {
	indoubt.Policy
	Look  string // the class of reads that show whether a booking ran; empty: none does
	Shows string // a text that such a read's value has if it did; empty: the value that the booking wrote
}

// Settings are those of a gateway.
type Settings struct {
	Node    string
	Life    uint64
	Classes map[string]Class
	Now     func() clock.Micros
	Time    func(clock.Micros) time.Time
	Log     zerolog.Logger
	// Look reads a key at the primary, as of now. done is told the row's value and the answer as it would be passed on; it is
	// called once, on any goroutine.
	Look func(class, key string, group int, by time.Time, done func(row, answer []byte, ok bool))
}

// The desk's bounds and spans.
const (
	window = 250 * time.Millisecond
	poll   = 100 * time.Millisecond
	settle = 500 * time.Millisecond
	keep   = 5 * time.Second
)

// mostLines bounds the log, in lines a second.
const mostLines = 200

// MostKept is the largest answer that is kept, in bytes.
const MostKept = 4 << 10

// Client is the side of a booking that its client is on. Its methods are called on the goroutine of the desk, and must not block
// for long.
type Client interface {
	// Route sends the booking on its way. Its final answer is to be given to Told.
	Route()
	// Drop tells that it will not be routed.
	Drop()
	// Reply is the final answer for the client. Without a value a served one is as Told had it.
	Reply(kind indoubt.Kind, value []byte)
}

// Asked is a booking that a client asks for.
type Asked struct {
	Request string // the client's id
	Class   string
	Group   int
	Name    string // the key in its statement
	Words   []byte // the statement without its comment
	Wrote   []byte // the value in it
	Repeat  bool
	By      time.Time
}

// Claim is a booking as its client's side has it. Told, Gone and Ask do not block.
type Claim interface {
	// Ask takes the booking in hand. Its client is told at once, or later, to route it, or its answer.
	Ask()
	// Told takes routing's final answer. Value is nil where it is too large to be kept.
	Told(kind indoubt.Kind, value []byte)
	// Gone tells that the client waits no longer.
	Gone()
	// May tells whether the last byte of an attempt may be written now, and waits for the word.
	May(ctx context.Context, server string, by time.Time) bool
}

// Desk is all bookings, as the gateway knows them: a gateway without them links none of this.
type Desk interface {
	Concerns(class string) bool
	New(Asked, Client) Claim
	Use(Store)
	Ended(node string, life uint64)
	Views() []indoubt.View
	Noticed(indoubt.Notice) int64
	// Fail gives whoever waits here for anything but routing its final answer: the gateway is about to end.
	Fail()
	Settle(bound time.Duration) bool
	Close()
}

// Booking is one that is in hand.
type Booking struct {
	all    *Bookings
	id     uint64
	ask    Asked
	client Client
	routed bool      // by the goroutine only, as the next one is
	permit chan bool // of the attempt that waits; nil: none does
}

// Bookings has all of them in hand.
type Bookings struct {
	s     Settings
	desk  *indoubt.Desk
	lines *rate.Limiter

	counts [indoubt.Notices]atomic.Int64
	store  atomic.Pointer[Store]
	next   atomic.Uint64

	mu      sync.Mutex
	waiting []func() // bounded by what is in hand
	wake    chan struct{}
	quit    chan struct{}
	done    chan struct{}

	open map[uint64]*Booking // by the goroutine only
}

// New starts the goroutine.
func New(s Settings) *Bookings {
	b := &Bookings{
		s: s, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}), open: map[uint64]*Booking{}, lines: rate.NewLimiter(mostLines, 2*mostLines),
		desk: indoubt.New(indoubt.Config{
			Name: s.Node, Life: s.Life, Window: micros(window), Poll: micros(poll), Settle: micros(settle), Keep: micros(keep),
		}),
	}
	go b.run()
	return b
}

func micros(d time.Duration) clock.Micros { return clock.Micros(d.Microseconds()) }

// Use gives it its store. Before it has one nothing can be promised.
func (b *Bookings) Use(s Store) { b.store.Store(&s) }

// Concerns tells whether bookings of a class are claimed before they are sent.
func (b *Bookings) Concerns(class string) bool {
	_, does := b.s.Classes[class]
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
func (b *Bookings) New(a Asked, client Client) Claim {
	return &Booking{all: b, id: b.next.Add(1), ask: a, client: client}
}

// Ask takes the booking in hand. Its client is told at once, or later, to route it, or its answer.
func (x *Booking) Ask() {
	b, a := x.all, &x.ask
	by := b.s.Now() + micros(time.Until(a.By))
	b.post(func() {
		b.open[x.id] = x
		b.handle(indoubt.Asked{
			ID: x.id, Key: Key(a.Class, a.Group, a.Words), Request: a.Request, Class: a.Class, Group: a.Group, Repeat: a.Repeat, By: by,
			Policy: b.s.Classes[a.Class].Policy,
		})
	})
}

// Told takes routing's final answer. Value is nil where it is too large to be kept.
func (x *Booking) Told(kind indoubt.Kind, value []byte) {
	x.all.post(func() { x.all.handle(indoubt.Told{ID: x.id, Kind: kind, Value: value, Kept: value != nil}) })
}

// Gone tells that the client waits no longer.
func (x *Booking) Gone() { x.all.post(func() { x.all.handle(indoubt.Gone{ID: x.id}) }) }

// May tells whether the last byte of an attempt may be written now, and waits for the word.
func (x *Booking) May(ctx context.Context, server string, by time.Time) bool {
	b, permit := x.all, make(chan bool, 1)
	until := b.s.Now() + micros(time.Until(by))
	b.post(func() {
		x.permit = permit
		b.handle(indoubt.Sending{ID: x.id, Server: server, By: until})
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
func (b *Bookings) Ended(node string, life uint64) {
	b.post(func() { b.handle(indoubt.Ended{Owner: node, Life: life}) })
}

// Noticed is how often something was noticed since the start.
func (b *Bookings) Noticed(n indoubt.Notice) int64 { return b.counts[n].Load() }

// post has the goroutine do something. It never blocks: the owner of the decision module calls it.
func (b *Bookings) post(do func()) {
	b.mu.Lock()
	b.waiting = append(b.waiting, do)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Bookings) run() {
	defer close(b.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if at, due := b.desk.Next(); due {
			timer.Reset(max(time.Until(b.s.Time(at)), 0))
		}
		select {
		case <-b.quit:
			return
		case <-timer.C:
			b.handle(indoubt.Tick{})
		case <-b.wake:
		}
		b.mu.Lock()
		all := b.waiting
		b.waiting = nil
		b.mu.Unlock()
		for _, do := range all {
			do()
		}
	}
}

// handle hands the desk an event and carries out what comes of it.
func (b *Bookings) handle(ev indoubt.Event) {
	for _, a := range b.desk.Handle(b.s.Now(), ev) {
		switch a := a.(type) {
		case indoubt.Put:
			b.put(a)
		case indoubt.Get:
			b.get(a)
		case indoubt.Route:
			if x := b.open[a.ID]; x != nil {
				x.routed = true
				x.client.Route()
			}
		case indoubt.Permit:
			if x := b.open[a.ID]; x != nil && x.permit != nil {
				x.permit <- a.OK
				x.permit = nil
			}
		case indoubt.Reply:
			if x := b.open[a.ID]; x != nil {
				x.client.Reply(a.Kind, a.Value)
			}
		case indoubt.Look:
			b.look(a)
		case indoubt.Over:
			if x := b.open[a.ID]; x != nil && !x.routed {
				x.client.Drop()
			}
			delete(b.open, a.ID)
		case indoubt.Noticed:
			b.noticed(a)
		}
	}
}

func (b *Bookings) put(p indoubt.Put) {
	s := b.store.Load()
	raw, err := json.Marshal(&p.Record)
	if s == nil || err != nil {
		b.post(func() { b.handle(indoubt.Stored{Call: p.Call, Result: indoubt.Never}) })
		return
	}
	(*s).Put([]byte(p.Key), raw, p.Version, time.Duration(p.Span)*time.Microsecond, b.s.Time(p.By), b.stored(p.Call))
}

func (b *Bookings) get(g indoubt.Get) {
	s := b.store.Load()
	if s == nil {
		b.post(func() { b.handle(indoubt.Stored{Call: g.Call, Result: indoubt.Never}) })
		return
	}
	(*s).Get([]byte(g.Key), b.s.Time(g.By), b.stored(g.Call))
}

func (b *Bookings) stored(call uint64) func(Stored) {
	return func(x Stored) {
		ev := indoubt.Stored{Call: call, Result: x.Result, Version: x.Version, Lost: x.Lost, Age: micros(x.Age), Since: micros(x.Since)}
		if x.Found {
			var r indoubt.Record
			if json.Unmarshal(x.Value, &r) != nil { // of a version that this one cannot read: all that is known is that it is there
				r = indoubt.Record{State: indoubt.Doubtful}
			}
			ev.Record = &r
		}
		b.post(func() { b.handle(ev) })
	}
}

func (b *Bookings) look(l indoubt.Look) {
	x := b.open[l.ID]
	class := b.s.Classes[x.ask.Class]
	b.s.Look(class.Look, x.ask.Name, x.ask.Group, b.s.Time(l.By), func(row, answer []byte, ok bool) {
		shown := ok && (class.Shows != "" && bytes.Contains(row, []byte(class.Shows)) || class.Shows == "" && bytes.Equal(row, x.ask.Wrote))
		b.post(func() { b.handle(indoubt.Looked{ID: l.ID, Shown: shown, Value: answer}) })
	})
}

// noticed tells the log of what is not ordinary, by words that one booking can be followed by through all gateways.
func (b *Bookings) noticed(n indoubt.Noticed) {
	b.counts[n.What].Add(1)
	if !b.lines.Allow() {
		return // clients that ask again in haste must not flood the log; the counters have all
	}
	line := b.s.Log.Info()
	switch n.What {
	case indoubt.Claimed, indoubt.Released:
		line = b.s.Log.Debug()
	case indoubt.Unsettled:
		line = b.s.Log.Warn()
	}
	line.Stringer("what", n.What).Str("booking", Short(n.Key)).Str("id", n.Request).Stringer("state", n.Record.State).
		Str("owner", n.Record.Owner).Uint64("life", n.Record.Life).Uint32("attempt", n.Record.Attempt).Str("claimed_for", n.Record.ID).Msg("booking in doubt")
}

// Short is a booking's name as logs and commands have it.
func Short(key string) string {
	if len(key) < 16 {
		return key
	}
	return hex.EncodeToString([]byte(key[len(key)-8:]))
}

// Views lists what is in hand.
func (b *Bookings) Views() (all []indoubt.View) {
	ran := make(chan struct{})
	b.post(func() {
		all = b.desk.Views(b.s.Now())
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
func (b *Bookings) Fail() { b.post(func() { b.handle(indoubt.Closing{}) }) }

// Settle waits until nothing is in hand, within a bound. It tells whether it came to that.
func (b *Bookings) Settle(bound time.Duration) bool {
	for late := time.Now().Add(bound); len(b.Views()) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(late) {
			return false
		}
	}
	return true
}

// Close ends it.
func (b *Bookings) Close() {
	close(b.quit)
	<-b.done
}
