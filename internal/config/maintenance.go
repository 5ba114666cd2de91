package config

import (
	"time"

	"marblespan/internal/config/lines"
)

// The bounds of the time that maintenance of a machine may take.
const (
	minWorkDuration = time.Second
	maxWorkDuration = 7 * 24 * time.Hour
)

// maxWait is the upper bound of settle-time, return-within, behind and unheard.
const maxWait = time.Hour

// Maintenance is the section maintenance. It holds the limits within which machines are taken out of service.
type Maintenance struct {
	lines.Source
	MaxGateways     int           `conf:"max-gateways" validate:"min=1,max=1024"` // maximum number of gateways out at the same time
	MaxPerZone      int           `conf:"max-per-zone" validate:"min=1,max=1024"` // maximum number of gateways of one zone out at the same time
	MaxServers      int           `conf:"max-servers" validate:"min=1,max=1024"`  // maximum number of servers out at the same time, at most one of each group
	KeepReady       int           `conf:"keep-ready" validate:"min=0,max=100"`    // ready gateways that must remain in a zone
	MaxLoad         int           `conf:"max-load" validate:"min=1,max=100"`      // load that the remaining gateways may have to carry, in percent of their capacity
	DefaultDuration time.Duration `conf:"default-duration"`                       // duration of the work, if the operator gives none
	SettleTime      time.Duration `conf:"settle-time"`                            // how long a machine must be healthy after its return
	ReturnWithin    time.Duration `conf:"return-within"`                          // how long a machine may take to return before it is overdue
	ExcuseAfter     time.Duration `conf:"excuse-after"`                           // how long after its duration of work an overdue machine stops delaying the others; 0: never
	MaxReplicaLag   time.Duration `conf:"behind"`                                 // lag above which a replica does not count as healthy
	LedgerTimeout   time.Duration `conf:"unheard"`                                // how long a starting gateway waits for the ledger before it serves
}

// Defaults sets the values that apply where the file does not set a directive of the section.
func (m *Maintenance) Defaults() {
	m.MaxGateways, m.MaxPerZone, m.MaxServers, m.KeepReady, m.MaxLoad = 1, 1, 1, 1, 70
	m.DefaultDuration, m.SettleTime, m.ReturnWithin = 20*time.Minute, 10*time.Second, 5*time.Minute
	m.MaxReplicaLag, m.LedgerTimeout = 2*time.Second, 5*time.Second
}

func (m *Maintenance) check(operators *Operators, faults *faultList) {
	if operators.StateStore == nil {
		faults.add(m.Source, "maintenance", 0, "requires a state-store section, which stores the maintenance order")
	}
	if m.DefaultDuration < minWorkDuration || m.DefaultDuration > maxWorkDuration {
		faults.add(m.Source, "default-duration", 0, "invalid value %v: must be from %v to %v", m.DefaultDuration, minWorkDuration, maxWorkDuration)
	}
	for _, wait := range []struct {
		directive string
		value     time.Duration
	}{
		{"settle-time", m.SettleTime}, {"return-within", m.ReturnWithin}, {"behind", m.MaxReplicaLag}, {"unheard", m.LedgerTimeout},
	} {
		if wait.value < 0 || wait.value > maxWait {
			faults.add(m.Source, wait.directive, 0, "invalid value %v: must be from 0s to 1h", wait.value)
		}
	}
	if m.ExcuseAfter < 0 || m.ExcuseAfter > maxWorkDuration {
		faults.add(m.Source, "excuse-after", 0, "invalid value %v: must be from 0s to %v", m.ExcuseAfter, maxWorkDuration)
	}
}
