package config

import (
	"time"

	"marblespan/internal/config/lines"
)

// The bounds of how long maintenance of a machine may take.
const (
	minWorkDuration = time.Second
	maxWorkDuration = 7 * 24 * time.Hour
)

// maxWait bounds the other durations of a maintenance section.
const maxWait = time.Hour

// Maintenance is the section maintenance: by what limits machines are taken out.
type Maintenance struct {
	lines.Source
	MaxGateways     int           `conf:"max-gateways" validate:"min=1,max=1024"` // out at once
	MaxPerZone      int           `conf:"max-per-zone" validate:"min=1,max=1024"` // gateways of one zone
	MaxServers      int           `conf:"max-servers" validate:"min=1,max=1024"`  // out at once, one of a group at the most
	KeepReady       int           `conf:"keep-ready" validate:"min=0,max=100"`    // ready gateways that a zone keeps
	MaxLoad         int           `conf:"max-load" validate:"min=1,max=100"`      // percent that those who stay may have to carry
	DefaultDuration time.Duration `conf:"default-duration"`                       // of the work, if the operator has not said
	SettleTime      time.Duration `conf:"settle-time"`                            // for which one that is back has to be well
	ReturnWithin    time.Duration `conf:"return-within"`
	ExcuseAfter     time.Duration `conf:"excuse-after"` // of one that is overdue; 0: never
	MaxReplicaLag   time.Duration `conf:"behind"`       // beyond which a replica does not count as well
	LedgerTimeout   time.Duration `conf:"unheard"`      // for which a start waits for the ledger
}

// Defaults are what the section has that it does not name.
func (m *Maintenance) Defaults() {
	m.MaxGateways, m.MaxPerZone, m.MaxServers, m.KeepReady, m.MaxLoad = 1, 1, 1, 1, 70
	m.DefaultDuration, m.SettleTime, m.ReturnWithin = 20*time.Minute, 10*time.Second, 5*time.Minute
	m.MaxReplicaLag, m.LedgerTimeout = 2*time.Second, 5*time.Second
}

func (m *Maintenance) check(operators *Operators, faults *faultList) {
	if operators.StateStore == nil {
		faults.add(m.Source, "maintenance", 0, "there is no state-store section: the order is kept in it")
	}
	if m.DefaultDuration < minWorkDuration || m.DefaultDuration > maxWorkDuration {
		faults.add(m.Source, "default-duration", 0, "%v is not from %v to %v", m.DefaultDuration, minWorkDuration, maxWorkDuration)
	}
	for _, wait := range []struct {
		directive string
		value     time.Duration
	}{
		{"settle-time", m.SettleTime}, {"return-within", m.ReturnWithin}, {"behind", m.MaxReplicaLag}, {"unheard", m.LedgerTimeout},
	} {
		if wait.value < 0 || wait.value > maxWait {
			faults.add(m.Source, wait.directive, 0, "%v is not from 0s to 1h", wait.value)
		}
	}
	if m.ExcuseAfter < 0 || m.ExcuseAfter > maxWorkDuration {
		faults.add(m.Source, "excuse-after", 0, "%v is not from 0s to %v", m.ExcuseAfter, maxWorkDuration)
	}
}
