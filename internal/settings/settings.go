// Package settings parses the settings of a gateway, which have the same form on the simulator's wire and in the
// configuration file, and the load report fields that the settings name. Packages config and simwire call Parse once for each
// set of settings; session, routing and gateway read the result. The package makes no decisions and starts no goroutines. A
// Snapshot does not change after Parse and package config have filled it in. On a reload, Live atomically switches to the
// next Snapshot.
//
// The platform's keys and words are defined by the struct tags and tables of wire.go, and the platform's names of load report
// fields are in loadreport.go. Parse translates the keys and words into the terms of policy.Settings, and defines how missing and
// unknown words are treated.
package settings

import (
	"sync/atomic"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
)

// Snapshot is one set of settings, parsed and checked. Package policy uses Settings; the other fields are for the gateway and
// the simulator's wire.
type Snapshot struct {
	Settings         policy.Settings
	ClassIndex       map[string]int // index into Settings.Classes, by class name
	ClassNames       []string       // names of the classes, in the order of Settings.Classes
	LoadReportFields []string       // names of the values in a load report on the simulator's wire, in order
	PositionEpoch    clock.Micros   // the time from which the simulator counts log positions
	Keepalive        clock.Micros   // database servers close connections that were idle for this long; 0: unknown
	Warnings         []*KeyError    // values that are missing, unknown or out of range; see Parse
}

// Live holds the settings in force. A reload replaces them while the gateway runs.
type Live struct{ atomic.Pointer[Snapshot] }

// NewLive returns a Live that holds the settings initial.
func NewLive(initial *Snapshot) *Live {
	l := &Live{}
	l.Store(initial)
	return l
}

// KeyError is a fault in one setting. Key is the setting's key path and Text describes the fault.
type KeyError struct{ Key, Text string }

// Error returns the key path and the text.
func (e *KeyError) Error() string { return e.Key + ": " + e.Text }

// HasSession reports whether requests of a class belong to a session, as writes and session reads do.
func (f *Snapshot) HasSession(class int) bool {
	need := f.Settings.Classes[class].Need
	return need == policy.NeedWrite || need == policy.NeedSession
}

// IsWrite reports whether requests of a class change data.
func (f *Snapshot) IsWrite(class int) bool { return f.Settings.Classes[class].Need == policy.NeedWrite }
