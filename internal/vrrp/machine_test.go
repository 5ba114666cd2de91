package vrrp

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"marblespan/internal/clock"
)

const ms clock.Micros = 1000

var self, other, third = netip.MustParseAddr("127.0.0.2"), netip.MustParseAddr("127.0.0.3"), netip.MustParseAddr("127.0.0.4")

func baseConfig() Config {
	return Config{VRID: 1, Priority: 128, AdvertisementInterval: 100 * ms, Preempt: true, LocalAddress: self}
}

// machineHarness runs a machine in virtual time, with a Tick whenever one is due.
type machineHarness struct {
	t   *testing.T
	m   Machine
	now clock.Micros
	out []Action
}

func newHarness(t *testing.T, cfg Config, ready bool) *machineHarness {
	b := &machineHarness{t: t, m: New(cfg), now: 1_000_000}
	b.handle(HealthChanged{Health{Ready: ready}})
	b.handle(Startup{})
	return b
}

func (b *machineHarness) handle(ev Event) []Action {
	b.out = b.m.Handle(b.now, ev)
	return b.out
}

// advance moves the time forward by duration, handles every Tick that is due, and returns all actions.
func (b *machineHarness) advance(duration clock.Micros) (all []Action) {
	end := b.now + duration
	for {
		at, ok := b.m.Next()
		if !ok || at > end {
			b.now = end
			return all
		}
		b.now = max(at, b.now)
		all = append(all, b.handle(Tick{})...)
	}
}

func (b *machineHarness) receive(from netip.Addr, priority uint8) []Action {
	return b.handle(AdvertisementReceived{from, priority, 100 * ms})
}

func (b *machineHarness) requireState(s State) {
	b.t.Helper()
	if b.m.State() != s {
		b.t.Fatalf("%v after %d ms, want %v; last %v", b.m.State(), (b.now-1_000_000)/ms, s, b.out)
	}
}

func firstAction[A Action](actions []Action) (a A, ok bool) {
	for _, x := range actions {
		if a, ok = x.(A); ok {
			return a, true
		}
	}
	return a, false
}

// The timers follow RFC 9568, 6.1. For priority 128 and an interval of 100 ms, Skew_Time is 50 ms and Active_Down_Interval is
// 350 ms.
func TestStandardTimers(t *testing.T) {
	for _, c := range []struct {
		priority       uint8
		interval, skew clock.Micros
	}{{128, 100 * ms, 50 * ms}, {255, 256 * ms, 1 * ms}, {1, 256 * ms, 255 * ms}, {100, 1000 * ms, 609_375}} {
		t.Run(fmt.Sprintf("priority %d, interval %d ms", c.priority, c.interval/ms), func(t *testing.T) {
			if s, d := SkewTime(c.priority, c.interval), ActiveDownInterval(c.priority, c.interval); s != c.skew || d != 3*c.interval+c.skew {
				t.Errorf("%+v: skew %d, down %d", c, s, d)
			}
		})
	}
	b := newHarness(t, baseConfig(), true)
	b.requireState(Backup)
	b.advance(349 * ms)
	b.requireState(Backup)
	all := b.advance(1 * ms)
	b.requireState(Active)
	want := []Action{
		StateChanged{Backup, Active, CauseActiveDown}, Activate{1}, SendAdvertisement{128, 100 * ms}, AnnounceAddress{1},
	}
	if !slices.Equal(all, want) {
		t.Errorf("%v, want %v", all, want)
	}
	all = b.advance(1000 * ms)
	if n, a := count[SendAdvertisement](all), count[AnnounceAddress](all); n != 10 || a != 3 {
		t.Errorf("%d advertisements and %d further announcements in a second", n, a)
	}
}

func count[A Action](all []Action) (n int) {
	for _, a := range all {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

func TestOwnerIsActiveAtOnce(t *testing.T) {
	cfg := baseConfig()
	cfg.Priority = PriorityOwner
	newHarness(t, cfg, true).requireState(Active)
	b := newHarness(t, cfg, false)
	b.requireState(Backup)
	b.advance(5000 * ms)
	b.requireState(Backup)
	b.handle(HealthChanged{Health{Ready: true}})
	b.advance(2 * ms)
	b.requireState(Active)
}

// A backup follows the advertised interval of the active router, not its own.
func TestFollowsTheAdvertisedInterval(t *testing.T) {
	b := newHarness(t, baseConfig(), true)
	b.handle(AdvertisementReceived{other, 200, 1000 * ms})
	b.advance(3499 * ms)
	b.requireState(Backup)
	b.advance(1 * ms)
	b.requireState(Active)
	if a, ok := firstAction[SendAdvertisement](b.out); !ok || a.AdvertisementInterval != 100*ms {
		t.Errorf("advertises %v", b.out)
	}
}

func TestRelease(t *testing.T) {
	b := newHarness(t, baseConfig(), true)
	b.receive(other, 200)
	b.advance(10 * ms)
	b.receive(third, PriorityRelease) // ignored, because third is not the active router
	b.advance(60 * ms)
	b.requireState(Backup)
	b.receive(other, PriorityRelease)
	b.advance(49 * ms)
	b.requireState(Backup)
	b.advance(1 * ms)
	b.requireState(Active)
	if c, _ := firstAction[StateChanged](b.out); c.Cause != CauseReleased {
		t.Errorf("%v", b.out)
	}
	out := b.handle(Shutdown{})
	want := []Action{
		SendAdvertisement{PriorityRelease, 100 * ms}, Deactivate{1, CauseShutdown}, StateChanged{Active, Backup, CauseShutdown},
		StateChanged{Backup, Initialize, CauseShutdown},
	}
	if !slices.Equal(out, want) {
		t.Errorf("%v", out)
	}
	if _, ok := b.m.Next(); ok || b.m.Lease() != 0 {
		t.Error("a machine that was shut down still has a timer or a lease")
	}
}

// Which of two active routers stays active: RFC 9568, 6.4.3.
func TestTwoActive(t *testing.T) {
	for _, c := range []struct {
		from     netip.Addr
		priority uint8
		stays    bool
	}{
		{other, 127, true}, {other, 129, false}, {other, 128, false}, {netip.MustParseAddr("127.0.0.1"), 128, true},
		{other, PriorityRelease, true}, {netip.MustParseAddr("127.0.0.1"), 255, false},
	} {
		t.Run(fmt.Sprintf("priority %d from %v", c.priority, c.from), func(t *testing.T) {
			b := newHarness(t, baseConfig(), true)
			b.advance(360 * ms)
			b.requireState(Active)
			out := b.receive(c.from, c.priority)
			_, released := firstAction[Deactivate](out)
			_, answered := firstAction[SendAdvertisement](out) // also sent by a router that is preempted
			if (b.m.State() == Active) != c.stays || released == c.stays || !answered {
				t.Errorf("%+v: %v, %v", c, b.m.State(), out)
			}
		})
	}
}

func TestPreemption(t *testing.T) {
	for _, c := range []struct {
		preempt bool
		delay   clock.Micros
		after   clock.Micros // 0: never
	}{{true, 0, 350 * ms}, {true, 1000 * ms, 1350 * ms}, {false, 0, 0}} {
		t.Run(fmt.Sprintf("preempt %v, delay %d ms", c.preempt, c.delay/ms), func(t *testing.T) {
			cfg := baseConfig()
			cfg.Preempt, cfg.PreemptDelay = c.preempt, c.delay
			b := newHarness(t, cfg, true)
			start := b.now
			for b.now < start+4000*ms && b.m.State() == Backup {
				b.receive(other, 50)
				b.advance(50 * ms)
			}
			took := b.now - start
			if c.after == 0 && b.m.State() == Active || c.after > 0 && (took < c.after-50*ms || took > c.after+100*ms) {
				t.Errorf("%+v: %v after %d ms", c, b.m.State(), took/ms)
			}
		})
	}
}

func TestTrackingLowersThePriority(t *testing.T) {
	cfg := baseConfig()
	cfg.PrioritySteps = [ConditionCount]uint8{NoPrimary: 30, DiscoverySilent: 90, DescriptorsLow: 90}
	b := newHarness(t, cfg, true)
	b.advance(360 * ms)
	h := Health{Ready: true}
	for _, c := range []struct {
		wrong Condition
		want  uint8
	}{{NoPrimary, 98}, {DiscoverySilent, 8}, {DescriptorsLow, 1}} {
		h.Conditions[c.wrong] = true
		b.handle(HealthChanged{h})
		if all := b.advance(101 * ms); b.m.Priority() != c.want || !slices.Contains(all, Action(SendAdvertisement{c.want, 100 * ms})) {
			t.Errorf("%v: priority %d, %v", ConditionNames[c.wrong], b.m.Priority(), all)
		}
	}
	b.requireState(Active) // the last remaining gateway holds the address even if all conditions lower its priority
	out := b.handle(HealthChanged{Health{}})
	if _, ok := firstAction[Deactivate](out); !ok || out[0] != (SendAdvertisement{PriorityRelease, 100 * ms}) {
		t.Errorf("after it became not ready: %v", out)
	}
	b.advance(5000 * ms)
	b.requireState(Backup)
	b.handle(HealthChanged{Health{Ready: true}})
	b.advance(50 * ms)
	b.requireState(Active)
}

// An active router whose process was stalled becomes a backup before it handles any event, without sending an advertisement.
func TestStalledProcess(t *testing.T) {
	b := newHarness(t, baseConfig(), true)
	b.advance(360 * ms)
	lease := b.m.Lease()
	b.now = lease + 1
	out := b.handle(Tick{})
	want := []Action{Deactivate{1, CauseStalled}, StateChanged{Active, Backup, CauseStalled}}
	if !slices.Equal(out, want) {
		t.Errorf("%v", out)
	}
	b.advance(349 * ms)
	b.requireState(Backup)
	b.now += 5000 * ms // a second stall, as a backup, which must restart its timer
	b.handle(Tick{})
	b.advance(349 * ms)
	b.requireState(Backup)
	b.advance(10 * ms)
	b.requireState(Active)
	if b.m.Activation() != 2 {
		t.Errorf("activation %d, want 2", b.m.Activation())
	}
}

func TestActivateFailed(t *testing.T) {
	cfg := baseConfig()
	cfg.Damping = Damping{Window: 500 * ms, InitialDelay: 1000 * ms, MaxDelay: 3000 * ms}
	b := newHarness(t, cfg, true)
	b.advance(360 * ms)
	if out := b.handle(ActivateFailed{Activation: 7}); len(out) > 0 {
		t.Errorf("the failure of another activation must be ignored: %v", out)
	}
	out := b.handle(ActivateFailed{Activation: 1})
	b.requireState(Backup)
	if out[0] != (SendAdvertisement{PriorityRelease, 100 * ms}) {
		t.Errorf("%v", out)
	}
	b.advance(990 * ms)
	b.requireState(Backup)
	b.advance(20 * ms)
	b.requireState(Active)
}

// Each flap doubles the delay, up to the maximum. A long activation does not count as a flap, and after a time without flaps
// the count starts again.
func TestDamping(t *testing.T) {
	cfg := baseConfig()
	cfg.Damping = Damping{Window: 500 * ms, InitialDelay: 1000 * ms, MaxDelay: 3000 * ms}
	b := newHarness(t, cfg, true)
	var held []clock.Micros
	for range 4 {
		for b.m.State() != Active {
			b.advance(ms)
		}
		b.advance(400 * ms)
		b.receive(other, 200)
		held = append(held, (b.m.PreemptBlockedUntil()-b.now)/ms)
		b.advance(b.m.PreemptBlockedUntil() - b.now - ms)
		b.requireState(Backup)
	}
	if fmt.Sprint(held) != "[1000 2000 3000 3000]" {
		t.Errorf("delays of %v ms, want 1000, 2000, 3000 and 3000", held)
	}
	b.advance(20_000 * ms)
	b.receive(other, 200)
	if b.m.PreemptBlockedUntil() > b.now {
		t.Error("a loss after a long activation counts as a flap")
	}
	b.advance(360 * ms)
	b.receive(other, 200)
	if got := b.m.PreemptBlockedUntil() - b.now; got != 1000*ms {
		t.Errorf("after a time without flaps: delay of %d ms, want 1000", got/ms)
	}
}

func TestReconfigured(t *testing.T) {
	b := newHarness(t, baseConfig(), true)
	b.advance(360 * ms)
	next := baseConfig()
	next.Priority, next.AdvertisementInterval, next.VRID, next.LocalAddress = 90, 50*ms, 9, third
	out := b.handle(ConfigChanged{next})
	if a, ok := firstAction[SendAdvertisement](out); !ok || a != (SendAdvertisement{90, 50 * ms}) || b.m.config.VRID != 1 || b.m.config.LocalAddress != self {
		t.Errorf("%v", out)
	}
	b.receive(other, 100)
	b.requireState(Backup)
}

// For any events in any order: Activate and Deactivate alternate, the activation number increases, a router that is not active
// sends no advertisement except a release, a router that is not ready is never active, and there is a lease only while active.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := baseConfig()
		cfg.Priority = rapid.Uint8Range(1, 255).Draw(t, "priority")
		cfg.Preempt = rapid.Bool().Draw(t, "preempt")
		cfg.PreemptDelay = clock.Micros(rapid.IntRange(0, 3).Draw(t, "delay")) * 100 * ms
		cfg.Damping = Damping{clock.Micros(rapid.IntRange(0, 5).Draw(t, "window")) * 100 * ms, 50 * ms, 800 * ms}
		cfg.PrioritySteps = [ConditionCount]uint8{60, 40, 30, 20, 200}
		m := New(cfg)
		now, held := clock.Micros(1), false
		last := uint32(0)
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			if rapid.Bool().Draw(t, "next") {
				if at, ok := m.Next(); ok {
					now = max(now, at)
				}
			} else {
				now += clock.Micros(rapid.SampledFrom([]int{0, 1, 10, 60, 100, 400, 2000}).Draw(t, "gap")) * ms
			}
			var ev Event = Tick{}
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1:
				ev = Startup{}
			case 2:
				ev = Shutdown{}
			case 3, 4, 5:
				ev = AdvertisementReceived{rapid.SampledFrom([]netip.Addr{other, third}).Draw(t, "from"), rapid.Uint8().Draw(t, "p"),
					clock.Micros(rapid.IntRange(1, 30).Draw(t, "interval")) * 10 * ms}
			case 6:
				h := Health{Ready: rapid.IntRange(0, 3).Draw(t, "ready") > 0}
				h.Conditions[rapid.IntRange(0, int(ConditionCount)-1).Draw(t, "wrong")] = true
				ev = HealthChanged{h}
			case 7:
				ev = ActivateFailed{m.Activation()}
			}
			stale := held && now > m.Lease()
			for _, a := range m.Handle(now, ev) {
				switch a := a.(type) {
				case Activate:
					if held || a.Activation <= last || !m.Ready() {
						t.Fatalf("activation %d after %d, held %v, ready %v", a.Activation, last, held, m.Ready())
					}
					held, last = true, a.Activation
				case Deactivate:
					if !held || a.Activation != last {
						t.Fatalf("deactivates activation %d, latest %d, held %v", a.Activation, last, held)
					}
					held = false
				case SendAdvertisement:
					if a.Priority != PriorityRelease && !held || stale {
						t.Fatalf("advertises priority %d, held %v, stalled %v", a.Priority, held, stale)
					}
				case AnnounceAddress:
					if !held || a.Activation != last {
						t.Fatal("announces an address that it does not hold")
					}
				}
			}
			if held != (m.State() == Active) || held && !m.Ready() || (m.Lease() > 0) != held {
				t.Fatalf("held %v in state %v, ready %v, lease %d", held, m.State(), m.Ready(), m.Lease())
			}
			if at, ok := m.Next(); ok != (m.State() != Initialize) || ok && at <= now-1 {
				t.Fatalf("next Tick at %d, now %d", at, now)
			}
		}
	})
}
