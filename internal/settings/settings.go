// Package settings reads the settings that a gateway is given, for the simulator's wire and for the configuration file alike,
// and the fields of load reports that they name. Packages config and simwire call Parse once for each set of settings;
// session, routing and gateway read the result. It makes no decision and has no goroutine: an InForce does not change after
// Parse and config have filled it in, and Live swaps it atomically on a reload.
//
// The keys and words of the platform stand in wire.go only, in struct tags and tables. Parse turns them into the terms of
// policy.Settings and says how what is missing or unknown is read.
package settings

import (
	"sync/atomic"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// Snapshot is one set of settings, read and checked. Policy gets Settings; the rest is for the gateway and the simulator's
// wire.
type Snapshot struct {
	Settings         policy.Settings
	ClassIndex       map[string]int // index into Settings.Classes, by the class's name
	ClassNames       []string       // by index
	LoadReportFields []string       // names of the values of a load report on the simulator's wire, in order
	PositionEpoch    clock.Micros   // the time from which the simulator counts log positions
	Keepalive        clock.Micros   // database servers close a connection that was idle for so long; 0: unknown
	Warnings         []*KeyError    // what was missing or not understood, and has been read in its strictest sense
}

// Live holds the settings in force. They may be replaced while the gateway runs.
type Live struct{ atomic.Pointer[Snapshot] }

// NewLive makes a Live that holds initial.
func NewLive(initial *Snapshot) *Live {
	l := &Live{}
	l.Store(initial)
	return l
}

// KeyError names the setting that is at fault, by its key path, and says what is wrong with it.
type KeyError struct{ Key, Text string }

// Error is the key and the text.
func (e *KeyError) Error() string { return e.Key + ": " + e.Text }

// HasSession reports whether requests of a class carry a session: writes and session reads do.
func (f *Snapshot) HasSession(class int) bool {
	need := f.Settings.Classes[class].Need
	return need == policy.NeedWrite || need == policy.NeedSession
}

// IsWrite reports whether requests of a class change data.
func (f *Snapshot) IsWrite(class int) bool { return f.Settings.Classes[class].Need == policy.NeedWrite }
