package config

import (
	"net/netip"
	"time"

	"marblespan/internal/config/lines"
)

// The default and the bounds of the interval between probes of members.
const (
	defaultProbeInterval = 200 * time.Millisecond
	minProbeInterval     = 50 * time.Millisecond
	maxProbeInterval     = 10 * time.Second
)

// Members is the section members. It sets how the gateways detect which of them are alive.
type Members struct {
	lines.Source
	Node       string           `conf:"node" validate:"required,max=40,printascii"`
	Deployment string           `conf:"deployment" validate:"max=40"`
	Bind       netip.AddrPort   `conf:"bind" validate:"required"`
	Advertise  netip.AddrPort   `conf:"advertise"` // the address at which other members reach this gateway, if that address is not Bind
	Join       []netip.AddrPort `conf:"join" validate:"max=64"`
	Keys       []Key            `conf:"key,secret" validate:"min=1,max=4,unique=Number,dive"`
	Zone       string           `conf:"zone" validate:"max=20"`
	Weight     uint32           `conf:"weight"`
	Interval   time.Duration    `conf:"interval"`
	Via        []Via            `conf:"via" validate:"max=1024,unique=At"`
}

// Via replaces an address that a member advertises. The field At is the advertised address, and the field Via is the address at
// which this gateway reaches the member.
type Via struct{ At, Via netip.AddrPort }

// Key is a shared secret. A gateway signs messages with the first key of a section, and accepts messages that are signed with any
// key of the section.
type Key struct {
	Number uint8
	Secret string `validate:"min=16,max=256"`
}

// Defaults sets the values that apply where the file does not set a directive of the section.
func (m *Members) Defaults() { m.Weight, m.Interval = 1, defaultProbeInterval }

func (m *Members) check(faults *faultList) {
	own := m.Advertise
	if !own.IsValid() {
		own = m.Bind
	}
	if own.Addr().IsUnspecified() || own.Port() == 0 {
		faults.add(m.Source, "bind", 0, "other members cannot reach this gateway at %v; set its address with advertise", own)
	}
	if m.Interval < minProbeInterval || m.Interval > maxProbeInterval {
		faults.add(m.Source, "interval", 0, "invalid value %v: must be from %v to %v", m.Interval, minProbeInterval, maxProbeInterval)
	}
	for i, address := range m.Join {
		if address.Addr().Is4() != m.Bind.Addr().Is4() {
			faults.add(m.Source, "join", i, "%v is not of the same address family as bind", address)
		}
	}
	for i, v := range m.Via {
		if v.Via.Addr().Is4() != m.Bind.Addr().Is4() {
			faults.add(m.Source, "via", i, "%v is not of the same address family as bind", v.Via)
		}
	}
}
