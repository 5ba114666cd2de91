package simwire

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"marblespan/internal/policy"
	"marblespan/internal/settings"
)

const settingsJSON = `{"areas": ["east", "west"], "balancers": 2, "brand_new_key": {"x": [1]},
 "classes": [
  {"name": "look", "aim_ms": 300.5, "give_up_ms": 900.0, "effect": "free", "group": "all", "points": 2.0, "late_worth": 0.25},
  {"name": "put", "aim_ms": 700.0, "give_up_ms": 5000.0, "effect": "guarded", "group": "cell", "key_ttl_ms": 2000.0, "points": 6},
  {"name": "odd", "aim_ms": 700.0, "give_up_ms": 5000.0, "effect": "sideways", "group": "ring", "points": 1}],
 "family_info": {"answers_stamped": true, "checks": "await", "counted_from_ms": 1000.25, "wait_ms": 50.0,
  "freshness": ["lag_bound", "mutate", "purple"], "oldest_data_ms": [800.0, 0.0, 0.0], "write_marks": "brought"},
 "granularity_ms": 5.0, "locality": "east", "membership_mode": "subscribe", "ordinal": 1,
 "policy_limits": {"cancelling": true, "connect_timeout_ms": 250.0, "most_tries": 10, "probing": true},
 "report": {"fields": ["x0", "mystery", "x1", "pending", "cpu_share"]},
 "rules": {"ask_within_ms": 10000.0, "cold_from": 0.26, "fall_ms": 3000.0, "grace_to_answer_ms": 20.0,
  "overload_factor": 4.0, "ramp_time_ms": 16000.0, "stop_sending_within_ms": 250.0, "dropped_stay_open": true}}`

func testSettings(t *testing.T) *settings.Snapshot {
	t.Helper()
	f, err := settings.Parse([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestParseSettings(t *testing.T) {
	s := testSettings(t).Settings
	want := policy.Settings{
		Classes: []policy.Class{
			{Name: "look", Need: policy.NeedBounded, Effect: policy.EffectIdempotent, StalenessBound: 800_000, LatencyObjective: 300_500,
				Deadline: 900_000, PriorityWeight: 2000, LateWeight: 250},
			{Name: "put", Need: policy.NeedWrite, Effect: policy.EffectNonIdempotent, LatencyObjective: 700_000, Deadline: 5_000_000,
				PriorityWeight: 6000},
			// Unknown words get the strictest meaning.
			{Name: "odd", Need: policy.NeedWrite, Effect: policy.EffectNonIdempotent, LatencyObjective: 700_000,
				Deadline: 5_000_000, PriorityWeight: 1000},
		},
		Gateways: 2, Ordinal: 1, Tick: 5000, Zone: "east", FreshnessCheck: policy.FreshnessCheckWait, FreshnessCheckWait: 50_000,
		SessionPositionsCarried: true, AnswersCarryPosition: true, ListSubscribed: true, CanHealthCheck: true, CanCancel: true, MaxAttempts: 10,
		ConnectTimeout: 250_000, AnswerSlack: 20_000, DrainGrace: 250_000, RemovedStayUsable: true,
		SubscribeWithin: 10_000_000, SlowStartMinWeight: 260, SlowStartWindow: 16_000_000, OverloadFactor: 4000, OverloadWindow: 3_000_000,
	}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("got  %+v\nwant %+v", s, want)
	}
	for _, bad := range []string{`[]`, `{"granularity_ms": "soon"}`, `{"rules": {"cold_from": "x"}}`, `{`} {
		if _, err := settings.Parse([]byte(bad)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}

func TestDecode(t *testing.T) {
	f := testSettings(t)
	for _, c := range []struct {
		line string
		want Message
	}{
		{`["TICK",8412.25]`, BatchBegin{8_412_250}},
		{`["TICK", 357778831.756]`, BatchBegin{357_778_831_756}},
		{`["FLUSH"]`, BatchEnd{}},
		{`["POWER_OFF",3]`, StopInstance{3}},
		{`["REGISTRY",3,0,41,15]`, EndpointListChanged{3, policy.ListDelta, 15}},
		{`["REGISTRY",3,4,41,2]`, EndpointListChanged{3, policy.ListFull, 2}},
		{`["REGISTRY",3,1,41,2]`, EndpointListChanged{3, policy.ListCached, 2}},
		{`["REGISTRY",3,3,41,null]`, EndpointListChanged{3, policy.ListFailed, 0}},
		{`["REGISTRY",3,3]`, EndpointListChanged{3, policy.ListFailed, 0}},
		{`["LEDGER",7,[[1,1.5,"k","west",4294967295,11,1,6100.25],[0,1,"k","east",7,-1,2,null],[null,null,null,null,8,0,0]]]`,
			EndpointSheet{7, []policy.Endpoint{
				{Server: 4294967295, Group: 11, Zone: "west", State: policy.EndpointReady, Started: 6_100_250, Primary: true, Weight: 1500},
				{Server: 7, Group: -1, Zone: "east", State: policy.EndpointDraining, Weight: 1000},
				{Server: 8, State: policy.EndpointRemoved},
			}}},
		{`["JOB_IN",3,"rq_a",4569004829183723,12.0,11,240.5,"look",null,3,412.5]`, InstanceEvent{3, policy.Arrival{
			ID: "rq_a", Class: 0, Group: 11, Session: 4569004829183723, HasSession: true, TimeLeft: 240_500, ClientRetry: true,
			SinceWrite: 412_500}}},
		{`["JOB_IN",3,"rq_a",null,null,11,240,"put",null,4]`, InstanceEvent{3, policy.Arrival{
			ID: "rq_a", Class: 1, Group: 11, TimeLeft: 240_000}}},
		{`["RESPONSE",3,"rq_a",25486,18.5,51530247,200,true,0,null]`, InstanceEvent{3, policy.Outcome{
			ID: "rq_a", Server: 51530247, Result: policy.ResultOK, Execution: policy.ExecutionDone, Final: true, Latency: 18_500, Role: policy.RoleReplica,
			Position: 1_000_250 + 6371_000}}},
		{`["RESPONSE",3,"rq_a",1,0,5,404,false,2]`, InstanceEvent{3, policy.Outcome{
			ID: "rq_a", Server: 5, Result: policy.ResultMisdirected, Execution: policy.ExecutionNone, Attempt: 2, Role: policy.RolePrimary}}},
		{`["RESPONSE",3,"rq_a",1,0,5,500,false,2]`, InstanceEvent{3, policy.Outcome{
			ID: "rq_a", Server: 5, Result: policy.ResultError, Attempt: 2, Role: policy.RolePrimary}}},
		{`["STATUS_BACK",3,7,200,1.4,[6.204,9,0,2.5,0.62]]`, InstanceEvent{3, policy.HealthCheckEnded{
			Server: 7, Latency: 1400, LoadReport: policy.LoadReport{Position: 1_000_250 + 6_204_000, HasPosition: true,
				Role: policy.RoleReplica, Queue: 2500, HasQueue: true, Util: 620, HasUtil: true}}}},
		{`["STATUS_BACK",3,7,504,250,null]`, InstanceEvent{3, policy.HealthCheckEnded{
			Server: 7, Result: policy.ResultTimeout, Latency: 250_000}}},
		{`["HEADERS",3,"rq_a",1,7,9.25]`, InstanceEvent{3, policy.AnswerStarted{ID: "rq_a", Attempt: 1}}},
		{`["DROPPED",3,"rq_a"]`, InstanceEvent{3, policy.ClientDisconnected{ID: "rq_a"}}},
		{`["ALARM",3,"sw\"eep"]`, InstanceEvent{3, policy.Timer{RequestID: `sw"eep`}}},
		{`["ALARM",3,"sweep"]`, InstanceEvent{3, policy.Timer{Kind: policy.TimerSweep}}},
		{`["MAIL",3,2,"68692037"]`, InstanceEvent{3, policy.PeerMessage{From: 2, Data: []byte("hi 7")}}},
	} {
		got, err := Decode([]byte(c.line), func(int) *settings.Snapshot { return f })
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s:\n got  %+v, %v\n want %+v", c.line, got, err, c.want)
		}
	}
	got, err := Decode([]byte(`["START",4,18446744073709551615,`+strings.ReplaceAll(settingsJSON, "\n", " ")+`]`), nil)
	if s, ok := got.(StartInstance); err != nil || !ok || s.Instance != 4 || s.Seed != 1<<64-1 || len(s.Settings.Settings.Classes) != 3 {
		t.Errorf("START: %+v, %v", got, err)
	}
}

func TestDecodeResults(t *testing.T) {
	f := testSettings(t)
	for code, want := range map[string]policy.Result{
		"200": policy.ResultOK, "500": policy.ResultError, "503": policy.ResultOverloaded, "504": policy.ResultTimeout,
		"502": policy.ResultConnectFailed, "598": policy.ResultReset, "499": policy.ResultCancelled,
		"410": policy.ResultNotSent, "404": policy.ResultMisdirected,
	} {
		got, err := Decode([]byte(`["STATUS_BACK",3,7,`+code+`,1]`), func(int) *settings.Snapshot { return f })
		if err != nil || got.(InstanceEvent).Event.(policy.HealthCheckEnded).Result != want {
			t.Errorf("%s: %+v, %v", code, got, err)
		}
	}
}

func TestDecodeRefusesBadLines(t *testing.T) {
	f := testSettings(t)
	for _, c := range []struct {
		line  string
		named bool // the error is a *FaultError, of one instance
	}{
		{``, false}, {`{}`, false}, {`[]`, false}, {`[3]`, false}, {`["TICK"]`, false}, {`["TICK","x"]`, false},
		{`["LEDGER",16,[]]`, false}, {`["LEDGER",-1,[]]`, false}, {`["LEDGER",0,[[1]]]`, false},
		{`["LEDGER",0,[[0,1,"k","e",7,1,9,null]]]`, false}, {`["NOVELTY"]`, false}, {`["JOB_IN","x"]`, false},
		{`["NOVELTY",3]`, true}, {`["JOB_IN",3,"a",null,null,1,10,"nobody's class"]`, true},
		{`["JOB_IN",3,7,null,null,1,10,"look"]`, true}, {`["RESPONSE",3,"a",0,0,5,201,true,0]`, true},
		{`["RESPONSE",3,"a",0,0,4294967296,200,true,0]`, true}, {`["RESPONSE",3,"a",0,0,5,200,1,0]`, true},
		{`["STATUS_BACK",3,7,200,1,["x"]]`, true}, {`["MAIL",3,2,"zz"]`, true}, {`["REGISTRY",3,2,1,0]`, true},
		{`["REGISTRY",3,0,1,16]`, true}, {`["START",3]`, true}, {`["START",3,1,7]`, true}, {`["ALARM",9,"x"]`, true},
	} {
		_, err := Decode([]byte(c.line), func(i int) *settings.Snapshot {
			if i == 3 {
				return f
			}
			return nil
		})
		var fault *FaultError
		if err == nil || errors.As(err, &fault) != c.named {
			t.Errorf("%s: error %v, is a fault of an instance: %v", c.line, err, !c.named)
		}
	}
}

func TestAppendActions(t *testing.T) {
	got := string(AppendDone(AppendActions(nil, 3, []policy.Action{
		policy.Send{ID: "rq_a", Server: 4294967295, Until: 8_492_250}, policy.Reject{ID: "rq_a", RetryAfter: 250_000},
		policy.Reject{ID: `q"`}, policy.Fail{ID: "rq_a"}, policy.Cancel{ID: "rq_a", Attempt: 2},
		policy.SetTimer{At: 8_912_005, Timer: policy.Timer{Kind: policy.TimerSweep}}, policy.HealthCheck{Server: 7}, policy.CloseIdle{Server: 7},
		policy.SendToPeer{To: policy.AllPeers, Data: []byte("hi 7")}, policy.SendToPeer{To: 2, Data: nil}, policy.Log{Text: "two known"},
		policy.Watch{On: true}, policy.Watch{}, policy.Fetch{},
	})))
	want := `["TRY",3,"rq_a",4294967295,8492.250]
["SAY_NO",3,"rq_a",250]
["SAY_NO",3,"q\"",0]
["FINISH_ERROR",3,"rq_a"]
["ABANDON",3,"rq_a",2]
["SET_ALARM",3,8912.005,"sweep"]
["POLL",3,7]
["CLOSE_IDLE",3,7]
["MEMO_TO",3,"*","68692037"]
["MEMO_TO",3,2,""]
["WRITE_LOG",3,"two known"]
["STREAM_CHANGES",3,true]
["STREAM_CHANGES",3,false]
["SNAPSHOT",3]
["YIELD"]
`
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func FuzzDecode(f *testing.F) {
	for _, line := range []string{`["TICK",1]`, `["JOB_IN",3,"a",1,2,3,4,"look",null,1,2]`, `["LEDGER",0,[[1,1,"k","z",1,1,1,1]]]`} {
		f.Add(line)
	}
	fs, err := settings.Parse([]byte(settingsJSON))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, line string) {
		_, _ = Decode([]byte(line), func(int) *settings.Snapshot { return fs }) // must not panic
	})
}
