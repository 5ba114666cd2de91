package indoubt

import "testing"

// A gateway that finds another intent where it had stored its claim does not overwrite it, unless the intent belongs to the same claim
// and its outcome may replace it. Guards against "unsent" over the claim of another gateway, whose booking then ran a second time.
func TestFencedOwnerKeepsTheIntentOfOthers(t *testing.T) {
	claim := Intent{Owner: "gw-1", Incarnation: 7, RequestID: "r", ClaimCount: 1}
	other := Intent{Owner: "gw-2", Incarnation: 3, RequestID: "q", ClaimCount: 2}
	state := func(i Intent, s State) *Intent {
		i.State = s
		return &i
	}
	for name, c := range map[string]struct {
		stored   *Intent
		replaced bool
	}{
		"the claim of another gateway":                {state(other, Open), false},
		"a write of another gateway that may run":     {state(other, InDoubt), false},
		"the answer of another gateway's write":       {state(other, Answered), false},
		"the claim, answered by a lookup":             {state(claim, Answered), false},
		"the claim, taken over by another gateway":    {state(claim, InDoubt), true},
		"the claim, which a retry has stored again":   {state(claim, Open), true},
		"no intent, because the claim has not landed": {nil, true},
	} {
		for _, permitted := range []bool{false, true} {
			r := New(Config{Gateway: "gw-1", Incarnation: 7, SendWindow: 250, PollInterval: 50, OutcomeTimeout: 5000})
			request := RequestReceived{ID: 1, Key: "k", RequestID: "r", Deadline: 5000, Policy: marked}
			put := r.Handle(1, request)[0].(Put)
			r.Handle(2, StoreReplied{Call: put.Call, Version: 10})
			if permitted {
				r.Handle(3, PermissionRequested{ID: 1, Attempt: 1, Deadline: 5000})
			}
			get := r.Handle(400, PermissionRequested{ID: 1, Attempt: 2, Deadline: 5000})[0].(Get)
			version := uint64(20)
			if c.stored == nil {
				version = 0
			}
			r.Handle(401, StoreReplied{Call: get.Call, Version: version, Intent: c.stored})
			kind := Rejected
			if permitted {
				kind = Failed
			}
			written := playStore(r, r.Handle(402, RoutingAnswered{ID: 1, Kind: kind}), version, c.stored)
			// Of an attempt that was permitted, nothing but an open claim of its own may be replaced.
			want := c.replaced && (!permitted || c.stored != nil && c.stored.State == Open)
			if written != want {
				t.Errorf("%s, attempt permitted %v: intent replaced %v, want %v", name, permitted, written, want)
			}
		}
	}
}

// playStore carries out the store calls of a resolver on one stored intent, and reports whether the intent was replaced.
func playStore(r *Resolver, actions []Action, version uint64, stored *Intent) (replaced bool) {
	for now := r.now; len(actions) > 0; now++ {
		action := actions[0]
		actions = actions[1:]
		switch action := action.(type) {
		case Put:
			reply := StoreReplied{Call: action.Call, Result: Conflict}
			if action.Version == version {
				replaced, version, stored = true, version+1, &action.Intent
				reply = StoreReplied{Call: action.Call, Version: version}
			}
			actions = append(actions, r.Handle(now, reply)...)
		case Get:
			actions = append(actions, r.Handle(now, StoreReplied{Call: action.Call, Version: version, Intent: stored})...)
		}
	}
	return replaced
}
