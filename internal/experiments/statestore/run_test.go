package statestore

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marblespan/internal/testcluster"
)

// TestMeasure runs small versions of all measurements that need no real processes. It checks that each yields figures and that no write
// fails.
func TestMeasure(t *testing.T) {
	o := Options{Callers: 8, RepairedRecords: 500, StoredRecords: 1600, LoadDuration: 300 * time.Millisecond}
	for _, disk := range storageKinds {
		t.Run(fmt.Sprint("load, ", storageKind(disk)), func(t *testing.T) {
			l, err := measureLoad(clusterOptions{3, 3, 4, disk, neverRepair}, 8, 500*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			if l.Rate <= 0 || l.Failed > 0 || l.Latency.Millis(50) < 0 {
				t.Errorf("%+v", l)
			}
		})
	}
	r := Result{Idle: []Idle{{3, 7}}}
	t.Run("repair", func(t *testing.T) {
		repair, err := measureRepair(o, false)
		if err != nil {
			t.Fatal(err)
		}
		if repair.Duration <= 0 || repair.Failed > 0 {
			t.Errorf("%+v", repair)
		}
		r.Repairs = []Repair{repair}
	})
	t.Run("startup", func(t *testing.T) {
		startup, err := measureStartup(o.StoredRecords)
		if err != nil {
			t.Fatal(err)
		}
		if startup.DiskBytes <= 0 || startup.CountedBytes <= 0 || startup.OpenTime <= 0 {
			t.Errorf("%+v", startup)
		}
		r.Startup = startup
	})
	t.Run("tables and chart", func(t *testing.T) {
		dir := t.TempDir()
		var printed strings.Builder
		if err := Write(&printed, dir, o, r); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(printed.String(), "7 bytes a second and gateway with 3 gateways") {
			t.Errorf("printed\n%s", printed.String())
		}
		tables, err := os.ReadFile(filepath.Join(dir, tablesFile))
		if err != nil || !strings.HasPrefix(string(tables), printed.String()) || !strings.Contains(string(tables), "("+chartFile+")") {
			t.Errorf("file has, %v,\n%s", err, tables)
		}
		if _, err := os.Stat(filepath.Join(dir, chartFile)); err != nil {
			t.Error(err)
		}
	})
}

// TestEvents checks that ledGroups and electedSince find in a history which groups a gateway leads, and when other gateways become their
// leaders.
func TestEvents(t *testing.T) {
	event := func(at int64, node int, what, group string) testcluster.Event {
		return testcluster.Event{At: at, Node: node, Kind: testcluster.StateReported, What: what, Server: group}
	}
	history := []testcluster.Event{
		event(1, 1, eventBecameLeader, "a"),
		{At: 2, Node: 1, Kind: testcluster.ProcessChanged, What: "started"},
		event(3, 1, eventBecameLeader, "b"), event(4, 1, eventBecameLeader, "c"), event(5, 1, eventBecameLeader, "d"), event(6, 2, eventBecameLeader, "e"),
		event(7, 1, eventSteppedDown, "c"), event(8, 1, eventMemberStopped, "d"),
		event(9, 2, eventBecameLeader, "b"), event(10, 3, eventBecameLeader, "b"), event(11, 1, eventBecameLeader, "c"),
	}
	if got, want := fmt.Sprint(ledGroups(history[:8], 1)), "map[b:true]"; got != want {
		t.Errorf("led %v, want %v", got, want)
	}
	if got, want := fmt.Sprint(electedSince(history, 8, 1)), "map[b:9]"; got != want {
		t.Errorf("elected %v, want %v", got, want)
	}
}
