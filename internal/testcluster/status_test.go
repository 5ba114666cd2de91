package testcluster

import (
	"encoding/json"
	"reflect"
	"testing"
)

// The status types decode the gateways' answers by the JSON keys that internal/gateway writes.
func TestStatusKeys(t *testing.T) {
	t.Run("state store", func(t *testing.T) {
		var got StateStoreStatus
		decode(t, `{"founding":"f","copies":3,"format":2,"disk":"d","failed":"why","disks":[{"number":"1","node":"g1","gone":true}],
			"groups":[{"group":1,"epoch":4,"lost":true,"replicas":[{"number":7,"node":"g2","lost":true}],"adding":{"number":8,"node":"g3"},
			"here":{"leader":"g2","records":5,"unsure":true}}]}`, &got)
		if len(got.Stores) != 1 || len(got.Groups) != 1 || got.Groups[0].Adding == nil || got.Groups[0].Here == nil {
			t.Fatalf("got %+v", got)
		}
		if got.BootstrapID != "f" || got.Voters != 3 || got.Format != 2 || got.StoreID != "d" || got.Failed != "why" {
			t.Errorf("status: %+v", got)
		}
		if s := got.Stores[0]; s.Number != "1" || s.Node != "g1" || !s.Removed {
			t.Errorf("store: %+v", s)
		}
		group := got.Groups[0]
		if group.Group != 1 || group.Epoch != 4 || !group.Lost || !reflect.DeepEqual(group.Replicas, []RaftReplica{{7, "g2", true}}) {
			t.Errorf("group: %+v", group)
		}
		if *group.Adding != (RaftReplica{8, "g3", false}) {
			t.Errorf("added replica: %+v", *group.Adding)
		}
		if here := group.Here; here.Leader != "g2" || here.Records != 5 || !here.Recovering {
			t.Errorf("own replica: %+v", here)
		}
	})
	t.Run("maintenance", func(t *testing.T) {
		var got MaintenanceStatus
		decode(t, `{"leader":"g1","held":true,"machines":[{"place":1,"machine":"g2","kind":"gateway","state":"next","waits":"w","why":"c"}]}`, &got)
		want := MaintenanceStatus{Leader: "g1", Paused: true, Machines: []MaintenanceItem{
			{Place: 1, Machine: "g2", Kind: "gateway", State: "next", WaitingFor: "w", Comment: "c"},
		}}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	t.Run("intents", func(t *testing.T) {
		var got Intents
		decode(t, `{"open":[{"booking":"b","id":"i","phase":"p"}],"counts":{"n":2}}`, &got)
		if len(got.Open) != 1 || got.Open[0].Booking != "b" || got.Open[0].ID != "i" || got.Open[0].Phase != "p" || got.Counts["n"] != 2 {
			t.Errorf("got %+v", got)
		}
	})
}

func decode(t *testing.T, text string, into any) {
	t.Helper()
	if err := json.Unmarshal([]byte(text), into); err != nil {
		t.Fatal(err)
	}
}
