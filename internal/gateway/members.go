package gateway

import (
	"encoding/json"
	"errors"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"marblespan/internal/clock"
	"marblespan/internal/config"
	"marblespan/internal/gossip"
	"marblespan/internal/maintenance"
	"marblespan/internal/membership"
	"marblespan/internal/protocol/sealed"
)

// Version is the program's version, as in CHANGELOG.md. It is a variable so that a test build can set another version.
var Version = "0.2.0"

// members connects the gateway to the membership. It is nil in a gateway without a members section. Its callbacks self and
// memberChanged run on the gossip agent's goroutine.
type members struct {
	g              *Gateway
	gossip         *gossip.Agent
	settingsDigest atomic.Uint64 // digest of the settings in force
	draining       atomic.Bool
	alive          atomic.Pointer[[]string]

	mu    sync.Mutex
	known map[string]maintenance.Member // all other members ever seen; nil without a maintenance section, because only maintenance needs them
}

// startMembers starts the gossip agent.
func startMembers(g *Gateway) (*members, error) {
	m := &members{g: g}
	if g.maintenance != nil {
		m.known = map[string]maintenance.Member{}
	}
	m.settingsDigest.Store(digest(g.settings))
	m.alive.Store(&[]string{})
	clock := gossip.Clock{
		Now:  func() clock.Micros { return clock.Micros(g.clock.Now()) },
		Time: func(t clock.Micros) time.Time { return g.clock.Time(clock.Micros(t)) },
	}
	var err error
	s := gossipSettings(g.operators)
	s.Buffers, s.Fds = g.buffers, g.descriptors
	if m.gossip, err = gossip.Start(s, clock, g.incarnation, m.self, m.memberChanged, g.log); err != nil {
		return nil, err
	}
	g.descriptors.Reserve(2) // a socket and a listener
	return m, nil
}

// digest returns a hash by which gateways detect that their settings differ. It does not depend on the order of the keys, nor on
// ordinal, which is different on every gateway.
func digest(settings map[string]any) uint64 {
	common := maps.Clone(settings)
	delete(common, "ordinal")
	raw, _ := json.Marshal(common)
	return xxhash.Sum64(raw)
}

// self returns what the gateway tells the other members about itself.
func (m *members) self() gossip.Self {
	s := gossip.Self{Version: Version, Settings: m.settingsDigest.Load()}
	if c := m.g.operators.StateStore; c == nil || c.StoragePath() == "" || !c.RunsRaftNode(m.g.operators.Members.Node) {
		s.Flags |= membership.NoDisk
	}
	if m.draining.Load() {
		s.Flags |= membership.Draining
	}
	return s
}

// gossipSettings converts the operators' settings to those of the gossip agent.
func gossipSettings(ops *config.Operators) gossip.Settings {
	m := ops.Members
	s := gossip.Settings{
		Node: m.Node, Deployment: m.Deployment, Bind: m.Bind, Advertise: m.Advertise, Join: m.Join, Zone: m.Zone, Weight: m.Weight,
		Interval: m.Interval, Via: map[netip.AddrPort]netip.AddrPort{},
	}
	for _, k := range m.Keys {
		s.Keys = append(s.Keys, sealed.Key{Number: k.Number, Secret: []byte(k.Secret)})
	}
	for _, v := range m.Via {
		s.Via[v.At] = v.Via
	}
	return s
}

// reload applies the settings of the membership that may change while the gateway runs.
func (m *members) reload(ops *config.Operators, settings map[string]any) {
	if m != nil && ops.Members != nil {
		m.settingsDigest.Store(digest(settings))
		m.gossip.Reload(gossipSettings(ops))
	}
}

// setDraining sets whether the other members are told that this gateway is draining, for a shutdown or for maintenance.
func (m *members) setDraining(on bool) {
	if m != nil {
		m.draining.Store(on)
	}
}

// announceLeave tells the other members that this gateway is leaving. It does not wait until they have received the message.
func (m *members) announceLeave() {
	if m != nil {
		m.gossip.Leave()
	}
}

// close leaves the membership and ends the gossip agent.
func (m *members) close() {
	if m != nil {
		m.gossip.Close()
	}
}

// status returns the members as this gateway knows them, with the state of the streams to them if streams is set.
func (m *members) status(streams bool) (any, error) {
	if m == nil {
		return nil, errors.New("this gateway has no members section")
	}
	if streams {
		return m.gossip.StatusWithStreams(), nil
	}
	return m.gossip.Status(), nil
}

// logCounters logs the counters of the membership and of its streams.
func (m *members) logCounters() {
	if m == nil {
		return
	}
	c := &m.gossip.Counts
	line := m.g.log.Info().Int64("sent", c.Sent.Load()).Int64("sent_bytes", c.SentBytes.Load()).Int64("send_failed", c.SendFailed.Load()).
		Int64("received", c.Received.Load()).Int64("changes", c.Changes.Load()).Int64("deaths", c.Deaths.Load()).
		Int64("refutations", c.Refutations.Load()).Int64("path_changes", c.PathChanges.Load())
	for fault := sealed.NoFault + 1; fault < sealed.FaultCount; fault++ {
		if n := c.Dropped[fault].Load(); n > 0 {
			line = line.Int64("dropped_"+fault.Name(), n)
		}
	}
	for notice := range membership.NoticeCount {
		if n := c.Noticed[notice].Load(); n > 0 {
			line = line.Int64("noticed_"+notice.String(), n)
		}
	}
	line.Msg("members counters")
	x := &m.gossip.Streams.Counts
	m.g.log.Info().Int64("opened", x.Opened.Load()).Int64("accepted", x.Accepted.Load()).Int64("failed", x.DialsFailed.Load()).
		Int64("refused", x.Rejected.Load()).Int64("sent", x.Sent.Load()).Int64("sent_bytes", x.SentBytes.Load()).
		Int64("received", x.Received.Load()).Int64("dropped", x.Dropped.Load()).Int64("lost", x.Lost.Load()).Msg("streams counters")
}
