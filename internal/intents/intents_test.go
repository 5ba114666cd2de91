package intents

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/indoubt"
)

// late is when a test gives up.
const late = 20 * time.Second

// kept is a store in memory, as its contract has it.
type kept struct {
	mu       sync.Mutex
	versions uint64
	records  map[string]StoreReply
}

func (k *kept) Put(key, value []byte, version uint64, _ time.Duration, _ time.Time, done func(StoreReply)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records[string(key)].Version != version {
		go done(StoreReply{Result: indoubt.Conflict})
		return
	}
	k.versions++
	k.records[string(key)] = StoreReply{Version: k.versions, Value: value, Found: true}
	go done(StoreReply{Version: k.versions})
}

func (k *kept) Get(key []byte, _ time.Time, done func(StoreReply)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	go done(k.records[string(key)])
}

// asker is the client's side of one booking.
type asker struct {
	routed, dropped chan bool
	reply           chan indoubt.AnswerKind
	value           string
}

func (a *asker) Route() { a.routed <- true }
func (a *asker) Drop()  { a.dropped <- true }
func (a *asker) Reply(kind indoubt.AnswerKind, value []byte) {
	a.value = string(value)
	a.reply <- kind
}

func newAsker() *asker {
	return &asker{make(chan bool, 1), make(chan bool, 1), make(chan indoubt.AnswerKind, 2), ""}
}

func gateway(t *testing.T, name string, store Store, look func(done func(row, answer []byte, ok bool))) *Service {
	t.Helper()
	begin := time.Now()
	b := New(Settings{
		Node: name, Incarnation: 1, Log: zerolog.New(io.Discard), Now: func() clock.Micros { return clock.Micros(time.Since(begin).Microseconds()) },
		Classes: map[string]Class{"order": {Policy: indoubt.Policy{RepeatsMarked: true, HasLookup: look != nil, Retention: 60_000_000, MaxInFlight: 4}, LookupClass: "seat", LookupText: "there"}},
		ToTime:  func(m clock.Micros) time.Time { return begin.Add(time.Duration(m) * time.Microsecond) },
		Lookup:  func(_, _ string, _ int, _ time.Time, done func(row, answer []byte, ok bool)) { go look(done) },
	})
	if store != nil {
		b.SetStore(store)
	}
	t.Cleanup(b.Close)
	return b
}

func ask(b *Service, a *asker, words string, repeat bool) Write {
	x := b.NewWrite(Request{ID: "r", Class: "order", Group: 7, Key: words, Statement: []byte(words), Repeat: repeat, Deadline: time.Now().Add(late)}, a)
	x.Begin()
	return x
}

func wait[T any](t *testing.T, from chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(late):
		t.Fatalf("%s never came", what)
	}
	return v
}

// A booking is claimed, let go out, answered and kept; asked again at another gateway it has the same answer. One whose gateway
// has ended is taken over, and a read shows whether it ran.
func TestBookings(t *testing.T) {
	store := &kept{records: map[string]StoreReply{}}
	shows := func(done func(row, answer []byte, ok bool)) { done([]byte("is there"), []byte("read"), true) }
	a, b, c := gateway(t, "a", store, nil), gateway(t, "b", store, nil), gateway(t, "c", store, shows)
	first := newAsker()
	x := ask(a, first, "one", false)
	wait(t, first.routed, "its way")
	if !x.MaySend(context.Background(), "p", time.Now().Add(late)) {
		t.Fatal("not let go out")
	}
	x.RoutingAnswered(indoubt.Served, []byte("answer"))
	if k := wait(t, first.reply, "its answer"); k != indoubt.Served {
		t.Errorf("%v", k)
	}
	if !a.WaitIdle(late) {
		t.Fatal("never settled")
	}
	again := newAsker()
	ask(b, again, "one", true)
	if k := wait(t, again.reply, "the known answer"); k != indoubt.Served || again.value != "answer" {
		t.Errorf("%v %q", k, again.value)
	}
	wait(t, again.dropped, "the word that it is not routed")

	second := newAsker()
	y := ask(a, second, "two", false)
	wait(t, second.routed, "its way")
	if v := a.InFlight(); len(v) != 1 || v[0].Phase != "under_way" || v[0].Intent.State != indoubt.Open {
		t.Errorf("%+v", v)
	}
	y.Cancel()
	shown := newAsker()
	ask(c, shown, "two", true)
	if k := wait(t, shown.reply, "what a read shows"); k != indoubt.Served || shown.value != "read" {
		t.Errorf("%v %q", k, shown.value)
	}
	if y.MaySend(context.Background(), "p", time.Now().Add(late)) {
		t.Error("let go out, though its client has gone")
	}

	third := newAsker()
	ask(a, third, "three", false)
	wait(t, third.routed, "its way")
	b.GatewayEnded("a", 1)
	taken := newAsker()
	ask(b, taken, "three", true)
	if k := wait(t, taken.reply, "a word"); k != indoubt.Failed {
		t.Errorf("%v", k)
	}
	var r indoubt.Intent
	if s := store.records[Key("order", 7, []byte("three"))]; json.Unmarshal(s.Value, &r) != nil || r.State != indoubt.InDoubt || r.Owner != "a" || r.SettledBy != "b" {
		t.Errorf("%+v", r)
	}
	none := newAsker()
	ask(gateway(t, "d", nil, nil), none, "four", false)
	if k := wait(t, none.reply, "a refusal without a store"); k != indoubt.Rejected {
		t.Errorf("%v", k)
	}
}

// Of each class as many bookings are in hand as the file allows; the next one is refused, and a repeat hears that it may have run.
func TestAtOnce(t *testing.T) {
	b := gateway(t, "a", &kept{records: map[string]StoreReply{}}, nil)
	for _, words := range []string{"one", "two", "three", "four"} {
		a := newAsker()
		ask(b, a, words, false)
		wait(t, a.routed, "its way")
	}
	for repeat, want := range map[bool]indoubt.AnswerKind{false: indoubt.Rejected, true: indoubt.Failed} {
		a := newAsker()
		ask(b, a, "five", repeat)
		if k := wait(t, a.reply, "its answer"); k != want {
			t.Errorf("asked again: %v; %v, want %v", repeat, k, want)
		}
		wait(t, a.dropped, "the word that it is not routed")
	}
	if n := b.TransitionCount(indoubt.TooManyInFlight); n != 2 {
		t.Errorf("noticed %d times", n)
	}
}

// What is kept of a booking is JSON under a key made of its words, as earlier versions have it.
func TestLayoutOfRecords(t *testing.T) {
	key := Key("put", 2, []byte("the words"))
	if got, want := hex.EncodeToString([]byte(key)), "626f6f6b696e6720154611b754480b8f5ef6219b62ba7243e4c0f98d7e87919227945f109ee61220"; got != want {
		t.Errorf("the key is %s, want %s", got, want)
	}
	const text = `{"state":2,"owner":"gw-1","life":3,"id":"request 4","class":"put","group":5,"server":"db-6","attempt":7,"left":8,"value":"YW5zd2Vy","kept":true,"by":"gw-9"}`
	want := indoubt.Intent{
		State: indoubt.Answered, Owner: "gw-1", Incarnation: 3, RequestID: "request 4", Class: "put", Group: 5, Server: "db-6", ClaimCount: 7, TimeLeft: 8, Value: []byte("answer"), ValueComplete: true, SettledBy: "gw-9",
	}
	if got, err := json.Marshal(want); err != nil || string(got) != text {
		t.Errorf("%v, written as\n%s\nwant\n%s", err, got, text)
	}
	var got indoubt.Intent
	if err := json.Unmarshal([]byte(text), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v, read as %+v", err, got)
	}
	for state, want := range []indoubt.State{indoubt.Open, indoubt.Answered, indoubt.Unsent, indoubt.InDoubt} {
		if int(want) != state+1 {
			t.Errorf("%v is kept as %d, want %d", want, want, state+1)
		}
	}
}
