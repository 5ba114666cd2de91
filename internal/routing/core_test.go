package routing

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/discovery"
	"marblespan/internal/settings"
	"marblespan/internal/transport"
)

const testSettings = `{"balancers": 1,
 "classes": [
  {"name": "look", "aim_ms": 300, "give_up_ms": 900, "effect": "free", "points": 2, "late_worth": 0.25},
  {"name": "put", "aim_ms": 700, "give_up_ms": 5000, "effect": "single_shot", "points": 6, "late_worth": 0.5}],
 "family_info": {"answers_stamped": true, "checks": "await", "wait_ms": 50, "freshness": ["eventual", "mutate"],
  "oldest_data_ms": [0, 0], "write_marks": "brought"},
 "granularity_ms": 5, "membership_mode": "subscribe",
 "policy_limits": {"cancelling": true, "connect_timeout_ms": 250, "most_tries": 4, "probing": true},
 "rules": {"ask_within_ms": 10000, "cold_from": 0.26, "fall_ms": 3000, "grace_to_answer_ms": 20,
  "overload_factor": 4, "ramp_time_ms": 16000, "stop_sending_within_ms": 250}}`

// start is a time like those of a real clock.
const start = clock.Micros(1_767_225_600_000_000)

type fakeServers struct {
	jobs      []Job
	cancelled []int
	withdrawn []policy.ServerID
	probes    []policy.ServerID
	places    map[policy.ServerID]string
}

type fakeAttempt struct {
	s *fakeServers
	n int
}

func (a fakeAttempt) Cancel() { a.s.cancelled = append(a.s.cancelled, a.n) }

func (s *fakeServers) Send(j Job) Attempt {
	s.jobs = append(s.jobs, j)
	return fakeAttempt{s, len(s.jobs) - 1}
}
func (s *fakeServers) HealthCheck(id policy.ServerID, sent, until clock.Micros) {
	s.probes = append(s.probes, id)
}
func (s *fakeServers) CloseIdle(policy.ServerID)                 {}
func (s *fakeServers) Withdraw(id policy.ServerID)               { s.withdrawn = append(s.withdrawn, id) }
func (s *fakeServers) Forget(id policy.ServerID)                 { delete(s.places, id) }
func (s *fakeServers) SetEndpoint(id policy.ServerID, at string) { s.places[id] = at }

type fakeDiscovery struct{ from []int64 }

func (d *fakeDiscovery) Watch(from int64) { d.from = append(d.from, from) }
func (d *fakeDiscovery) StopWatch()       {}
func (d *fakeDiscovery) Fetch()           {}

type fakeClient struct{ answers []Answer }

func (c *fakeClient) Answer(a Answer) { c.answers = append(c.answers, a) }

// fakePayload counts its holders.
type fakePayload struct{ holders int }

func (p *fakePayload) Share() Payload { p.holders++; return p }
func (p *fakePayload) Free()          { p.holders-- }

type rig struct {
	t       *testing.T
	now     clock.Micros
	core    *Core
	servers *fakeServers
	disc    *fakeDiscovery
}

func entry(uid string, state discovery.State, primary bool) discovery.Entry {
	return discovery.Entry{
		UID: uid, Endpoint: "127.0.0.1:1", State: state, Weight: json.Number("1"), BootMS: json.Number("0"),
		Primary: primary, Group: 7,
	}
}

func newRig(t *testing.T) *rig {
	t.Helper()
	facts, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, now: start, servers: &fakeServers{places: map[policy.ServerID]string{}}, disc: &fakeDiscovery{}}
	known := EndpointListUpdate{List: discovery.List{Rev: 41, All: true, Entries: []discovery.Entry{
		entry("p", discovery.Ready, true), entry("a", discovery.Ready, false), entry("b", discovery.Ready, false),
	}}}
	r.core = NewCore(r.now, 5, facts, known, r.servers, r.disc, zerolog.Nop())
	return r
}

// pass lets time pass, with every timer at its time.
func (r *rig) pass(span clock.Micros) {
	end := r.now + span
	for {
		at, ok := r.core.NextTimer()
		if !ok || at > end {
			break
		}
		r.now = max(r.now, at)
		r.core.Expire(r.now)
	}
	r.now = end
}

func (r *rig) request(class int, wait clock.Micros) (*fakeClient, *fakePayload) {
	c, p := &fakeClient{}, &fakePayload{holders: 1}
	r.core.Handle(r.now, &Request{
		Client: c, Payload: p, Arrival: policy.Arrival{Class: class, Group: 7}, ReadAt: r.now, Timeout: wait,
	})
	return c, p
}

// end tells how the n-th job ended; the servers' side frees its share.
func (r *rig) end(n int, res policy.Result) {
	j := r.servers.jobs[n]
	j.Payload.Free()
	var value *transport.Message
	if res == policy.ResultOK {
		value = transport.NewBuffers(1 << 20).NewMessage()
	}
	r.core.Handle(r.now, AttemptEnded{Job: j, Result: res, Latency: r.now - j.SentAt, Value: value})
}

func (r *rig) want(c *fakeClient, kinds ...AnswerKind) {
	r.t.Helper()
	if len(c.answers) != len(kinds) {
		r.t.Fatalf("%d answers, want %d: %+v", len(c.answers), len(kinds), c.answers)
	}
	for i, k := range kinds {
		if c.answers[i].Kind != k {
			r.t.Fatalf("answer %s, want %s", AnswerKindNames[c.answers[i].Kind], AnswerKindNames[k])
		}
	}
}

func TestServedOnceAndForgotten(t *testing.T) {
	r := newRig(t)
	c, p := r.request(0, 900_000)
	if len(r.servers.jobs) != 1 {
		t.Fatalf("%d sends", len(r.servers.jobs))
	}
	j := r.servers.jobs[0]
	if j.Deadline > r.now+900_000 || j.Deadline <= r.now || j.SentAt != r.now {
		t.Errorf("sent at %d until %d, now %d", j.SentAt, j.Deadline, r.now)
	}
	r.pass(20_000)
	r.end(0, policy.ResultOK)
	r.want(c, AnswerServed)
	r.pass(2_000_000)
	r.want(c, AnswerServed)
	if p.holders != 0 || r.core.OpenRequests() != 0 || len(r.core.requests.byID) != 0 {
		t.Errorf("%d holders, %d open, %d kept", p.holders, r.core.OpenRequests(), len(r.core.requests.byID))
	}
}

// An answer is final for the module too. Were it not told so, each one would leave an attempt that it counts as out
// for good, and soon no server would have room.
func TestAnswersLeaveNothingOut(t *testing.T) {
	r := newRig(t)
	for n := range 1000 {
		c, _ := r.request(0, 900_000)
		if len(r.servers.jobs) != n+1 {
			t.Fatalf("request %d was not sent", n)
		}
		r.pass(10_000)
		r.end(n, policy.ResultOK)
		r.want(c, AnswerServed)
	}
}

// An unsafe request that may have run is failed, never refused and never sent again; one that never ran is.
func TestOutcomesDecideWhatIsTold(t *testing.T) {
	for _, c := range []struct {
		class int
		res   policy.Result
		again bool
		kind  AnswerKind
	}{
		{1, policy.ResultReset, false, AnswerFailed}, {1, policy.ResultError, false, AnswerFailed},
		{1, policy.ResultTimeout, false, AnswerFailed}, {1, policy.ResultConnectFailed, true, AnswerRejected},
		{1, policy.ResultOverloaded, true, AnswerRejected}, {0, policy.ResultReset, true, AnswerRejected},
	} {
		r := newRig(t)
		client, p := r.request(c.class, 1_000_000)
		r.pass(10_000)
		r.end(0, c.res)
		r.pass(200_000)
		if again := len(r.servers.jobs) > 1; again != c.again {
			t.Errorf("%s of class %d: sent again %v", ResultNames[c.res], c.class, again)
		}
		for n := 1; n < len(r.servers.jobs); n++ {
			if n < 4 {
				r.end(n, policy.ResultConnectFailed)
				r.pass(200_000)
			}
		}
		r.pass(2_000_000)
		r.want(client, c.kind)
		if n := len(r.servers.jobs); n > 4 {
			t.Errorf("%d attempts of four allowed", n)
		}
		_ = p
	}
}

// What the client leaves behind is cancelled, and its late outcome is still taken in, answered to nobody.
func TestClientGone(t *testing.T) {
	r := newRig(t)
	c, p := r.request(1, 1_000_000)
	r.pass(10_000)
	r.core.Handle(r.now, ClientDisconnected{Client: c})
	if len(r.servers.cancelled) != 1 {
		t.Fatalf("%d cancels", len(r.servers.cancelled))
	}
	r.end(0, policy.ResultOK)
	r.core.Handle(r.now, ClientDisconnected{Client: c})
	r.pass(3_000_000)
	r.want(c)
	if p.holders != 0 || len(r.core.requests.byID) != 0 {
		t.Errorf("%d holders, %d kept", p.holders, len(r.core.requests.byID))
	}
}

// Time that passed between the reading and the owner's turn is taken off the client's patience.
func TestQueueTimeCounts(t *testing.T) {
	r := newRig(t)
	c := &fakeClient{}
	r.core.Handle(r.now, &Request{
		Client: c, Payload: &fakePayload{holders: 1}, Arrival: policy.Arrival{Class: 1, Group: 7},
		ReadAt: r.now - 400_000, Timeout: 1_000_000,
	})
	if u := r.servers.jobs[0].Deadline; u > r.now+600_000 || u < r.now+500_000 {
		t.Errorf("given up after %d us, want just under 600000", u-r.now)
	}
	r.pass(600_000)
	r.want(c, AnswerFailed)
}

func TestUnknownGroupIsRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	c, p := &fakeClient{}, &fakePayload{holders: 1}
	r.core.Handle(r.now, &Request{
		Client: c, Payload: p, Arrival: policy.Arrival{Class: 1, Group: 99}, ReadAt: r.now, Timeout: 1_000_000,
	})
	r.want(c, AnswerRejected)
	if p.holders != 0 || r.core.Counts.UnknownGroup != 1 {
		t.Errorf("%d holders, %d counted", p.holders, r.core.Counts.UnknownGroup)
	}
}

func TestListNews(t *testing.T) {
	r := newRig(t)
	if len(r.disc.from) != 1 || r.disc.from[0] != 41 {
		t.Fatalf("watched from %v, want the version of the list it had", r.disc.from)
	}
	if len(r.servers.places) != 3 || !r.core.Ready() {
		t.Fatalf("%v placed", r.servers.places)
	}
	moved := entry("a", discovery.Draining, false)
	moved.Endpoint = "127.0.0.9:1"
	r.core.Handle(r.now, EndpointListUpdate{List: discovery.List{Rev: 42, Entries: []discovery.Entry{moved}}})
	if len(r.servers.places) != 3 || r.servers.places[2] != "127.0.0.9:1" {
		t.Errorf("a server that moved is %v", r.servers.places)
	}
	r.core.Handle(r.now, EndpointListUpdate{Failed: true})
	r.pass(5_000_000)
	if len(r.disc.from) < 2 || r.disc.from[1] != 42 {
		t.Errorf("asked again from %v", r.disc.from)
	}
	// A draining server gets nothing new.
	for range 30 {
		r.request(0, 900_000)
	}
	for _, j := range r.servers.jobs {
		if j.Server == 2 {
			t.Fatal("a send to a draining server")
		}
	}
	r.core.Handle(r.now, EndpointListUpdate{List: discovery.List{Rev: 50, All: true}})
	if r.core.Ready() {
		t.Error("ready with an empty list")
	}
}

func TestTimersInOrder(t *testing.T) {
	var ts timers
	for _, x := range []struct {
		at    clock.Micros
		token string
	}{{30, "c"}, {10, "a"}, {30, "d"}, {20, "b"}} {
		ts.set(x.at, policy.Timer{RequestID: x.token})
	}
	got := ""
	for {
		tok, ok := ts.due(30)
		if !ok {
			break
		}
		got += tok.RequestID
	}
	if got != "abcd" {
		t.Errorf("order %s", got)
	}
	if _, ok := ts.first(); ok {
		t.Error("a timer is left")
	}
}

// The clock's readings only go forward, and deadlines made of them are moments of the same clock.
func TestClock(t *testing.T) {
	c := NewClock()
	last := c.Now()
	for range 1000 {
		now := c.Now()
		if now < last {
			t.Fatalf("%d after %d", now, last)
		}
		last = now
	}
	if got := c.Time(last).Sub(c.start); got < 0 || c.Time(last+1000).Sub(c.Time(last)).Microseconds() != 1000 {
		t.Errorf("%v after the start", got)
	}
}

func TestOwnerStops(t *testing.T) {
	r := newRig(t)
	o := NewOwner(NewClock())
	go o.Run(func(clock.Micros) *Core { return r.core })
	ran := false
	if !o.Call(func(*Core) { ran = true }) || !ran {
		t.Fatal("the owner did not run what it was asked")
	}
	o.Stop()
	for range 2 * queueLength { // nobody may block on an owner that has stopped
		o.Post(ClientDisconnected{})
	}
	if o.Call(func(*Core) {}) {
		t.Error("a stopped owner ran something")
	}
}

// On a long day servers are replaced without end: nothing stays of one that is gone, and one that comes back while an
// attempt is out at it is still the same.
func TestReplacedServersAreForgotten(t *testing.T) {
	r := newRig(t)
	tell := func(entries ...discovery.Entry) {
		r.core.Handle(r.now, EndpointListUpdate{List: discovery.List{Rev: 42, Entries: entries}})
		r.pass(100_000)
	}
	r.pass(100_000)
	tell(entry("never", discovery.Gone, false))
	before := len(r.core.endpoints.idByUID)
	for i := range 500 {
		uid := "s" + strconv.Itoa(i)
		tell(entry(uid, discovery.Ready, false))
		tell(entry(uid, discovery.Draining, false))
		tell(entry(uid, discovery.Gone, false))
	}
	r.pass(1_000_000)
	if m := r.core.endpoints; len(m.idByUID) != before || len(m.uidByID) != before || len(m.listed) != before ||
		len(r.servers.places) != before {
		t.Errorf("%d numbers, %d uids, %d live and %d places kept, want %d", len(m.idByUID), len(m.uidByID), len(m.listed),
			len(r.servers.places), before)
	}
	for len(r.servers.jobs) == 0 || r.servers.jobs[len(r.servers.jobs)-1].Server == 1 {
		r.request(0, 900_000)
	}
	last := len(r.servers.jobs) - 1
	id := r.servers.jobs[last].Server
	uid := r.core.endpoints.uidByID[id]
	tell(entry(uid, discovery.Gone, false))
	tell(entry(uid, discovery.Ready, false))
	if r.core.endpoints.idByUID[uid] != id {
		t.Error("a server that came back while an attempt was out got another number")
	}
	r.end(last, policy.ResultOK)
}

// What a client calls its requests is remembered for just as long as anything is out for them.
func TestNamesInUse(t *testing.T) {
	r := newRig(t)
	ask := func() *fakeClient {
		c := &fakeClient{}
		r.core.Handle(r.now, &Request{
			Client: c, ClientID: "x", Payload: &fakePayload{holders: 1}, ReadAt: r.now, Timeout: 1_000_000,
			Arrival: policy.Arrival{Class: 1, Group: 7},
		})
		return c
	}
	first := ask()
	r.want(ask(), AnswerDuplicateID)
	r.core.Handle(r.now, ClientDisconnected{Client: first})
	r.want(ask(), AnswerDuplicateID) // its attempt is still out
	r.end(0, policy.ResultCancelled)
	r.want(ask())
	r.end(1, policy.ResultOK)
	if len(r.core.requests.byClientID) != 0 {
		t.Errorf("%d names kept", len(r.core.requests.byClientID))
	}
}

// A request read under other settings is placed by its class's name, and refused, unsent, if that class needs other data
// now or is no more. The counters keep each class's place.
func TestClassesAreFoundByNameAfterAChange(t *testing.T) {
	r := newRig(t)
	old := r.core.inForce
	next := *old
	next.ClassNames = []string{"extra", old.ClassNames[1], old.ClassNames[0]}
	next.ClassIndex = map[string]int{"extra": 0, old.ClassNames[1]: 1, old.ClassNames[0]: 2}
	c := old.Settings.Classes
	next.Settings.Classes = []policy.Class{c[0], c[1], c[0]}
	next.Settings.Classes[0].Name = "extra"
	r.core.Reconfigure(&next)
	ask := func(facts *settings.InForce, class int) *fakeClient {
		f := &fakeClient{}
		r.core.Handle(r.now, &Request{
			Client: f, Payload: &fakePayload{holders: 1}, InForce: facts, Arrival: policy.Arrival{Class: class, Group: 7},
			ReadAt: r.now, Timeout: 1_000_000,
		})
		return f
	}
	ask(old, 0)
	if n := r.core.Counts; n.Requests[0] != 1 || n.ClassNames[2] != "extra" || n.ClassChanged != 0 {
		t.Errorf("%+v", n)
	}
	other := next
	other.ClassNames, other.ClassIndex = next.ClassNames[:2], map[string]int{"extra": 0, old.ClassNames[1]: 1}
	other.Settings.Classes = []policy.Class{c[1], c[1]}
	r.core.Reconfigure(&other)
	sends := len(r.servers.jobs)
	r.want(ask(old, 0), AnswerRejected)   // no more
	r.want(ask(&next, 0), AnswerRejected) // a write now
	if n := r.core.Counts; n.ClassChanged != 2 || len(r.servers.jobs) != sends {
		t.Errorf("%d strays, %d sent", n.ClassChanged, len(r.servers.jobs)-sends)
	}
}

// A server that operators set aside gets nothing new, whatever the list says meanwhile, and is cold once it is put back. What discovery
// has told of itself stays as it was.
func TestServersSetAside(t *testing.T) {
	r := newRig(t)
	aside := func(uids ...string) { r.core.Handle(r.now, Call{Do: func(c *Core) { c.SetCordoned(uids) }}) }
	sentTo := func(rounds int) map[string]bool {
		out := map[string]bool{}
		for range rounds {
			from := len(r.servers.jobs)
			r.request(0, 900_000)
			r.pass(400_000)
			for _, j := range r.servers.jobs[from:] {
				out[r.core.endpoints.uidByID[j.Server]] = true
				r.core.Handle(r.now, AttemptEnded{Job: j, Result: policy.ResultOK, Latency: 1000, Role: policy.RoleReplica, Position: r.now})
			}
		}
		return out
	}
	if to := sentTo(40); !to["a"] || !to["b"] {
		t.Fatalf("before: %v", to)
	}
	aside("a", "unknown")
	if to := sentTo(40); to["a"] || !to["b"] || r.core.InFlightAt("a") != 0 {
		t.Errorf("set aside: %v", to)
	}
	r.core.Handle(r.now, EndpointListUpdate{List: discovery.List{Rev: 42, Entries: []discovery.Entry{entry("a", discovery.Ready, false), entry("unknown", discovery.Ready, false)}}})
	if to := sentTo(40); to["a"] || to["unknown"] {
		t.Errorf("set aside, and on the list again: %v", to)
	}
	aside()
	view := func(uid string) policy.ServerView { v, _ := r.core.viewOf(uid); return v }
	if v := view("a"); !v.InSlowStart || v.State != policy.EndpointReady {
		t.Errorf("put back: %+v", v)
	}
	if to := sentTo(40); !to["a"] {
		t.Errorf("put back: %v", to)
	}
	aside("b")
	r.core.Handle(r.now, EndpointListUpdate{List: discovery.List{Rev: 43, Entries: []discovery.Entry{entry("b", discovery.Draining, false)}}})
	aside()
	if v := view("b"); v.State != policy.EndpointDraining {
		t.Errorf("put back, and the list has it drain: %+v", v)
	}
	if group, known := r.core.GroupOf("a"); !known || group != 7 {
		t.Errorf("group %d, %v", group, known)
	}
	if all := r.core.Servers(map[int]bool{7: true}); len(all) != 4 {
		t.Errorf("%d servers", len(all))
	}
}

// A read that must be current is not served by the answer of one that says that it is a replica: it was taken for the primary by an
// old list. The read goes on, and other reads have such answers.
func TestAnswersOfReplicas(t *testing.T) {
	for need, want := range map[string]int{"strong": 0, "eventual": 1} {
		facts, err := settings.Parse([]byte(strings.Replace(testSettings, `"eventual"`, `"`+need+`"`, 1)))
		if err != nil {
			t.Fatal(err)
		}
		r := newRig(t)
		r.core.Reconfigure(facts)
		c, _ := r.request(0, 900_000)
		if len(r.servers.jobs) == 0 {
			r.pass(100_000)
		}
		j := r.servers.jobs[0]
		r.core.Handle(r.now, AttemptEnded{Job: j, Result: policy.ResultOK, Latency: 1000, Role: policy.RoleReplica, Position: r.now})
		if len(c.answers) != want || r.core.Counts.StaleAnswers != int64(1-want) {
			t.Errorf("%s: %d answers, %d not current", need, len(c.answers), r.core.Counts.StaleAnswers)
		}
		for _, j := range r.servers.jobs[1:] {
			r.core.Handle(r.now, AttemptEnded{Job: j, Result: policy.ResultOK, Latency: 1000, Role: policy.RolePrimary, Position: r.now})
		}
		r.pass(1_000_000)
		if len(c.answers) != 1 {
			t.Errorf("%s: %d answers in the end", need, len(c.answers))
		}
	}
}
