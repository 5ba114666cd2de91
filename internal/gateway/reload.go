package gateway

import (
	"marblespan/internal/config"
	"marblespan/internal/routing"
)

// Reload takes over what may change while the gateway runs. An error of reading either file leaves everything as it is.
//
// What changes:
//
//   - all of the platform's settings (classes, policy and the like), as one;
//   - the address of discovery;
//   - of the operators' file: of members the keys, the addresses to join at, via, zone, weight and interval; of vrrp and group the
//     peers, keys, announcements, priorities and timers; of maintenance all but the default duration of work.
//
// What does not is listed by config.Config.RestartRequired and config.Operators.RestartRequired: the gateway's name, its listener
// and its limits; the control socket, the state-store and in-doubt sections; who the gateway is among members and at its floating
// addresses; and whether a section is there at all. Such a change is logged, and waits for a restart.
func (g *Gateway) Reload(next *config.Config, ops *config.Operators, err error) {
	g.reloadMutex.Lock()
	defer g.reloadMutex.Unlock()
	if err != nil {
		g.log.Error().Err(err).Msg("reload failed, the old configuration stays")
		return
	}
	g.warnOfFormerWords(ops)
	if fixed := append(g.cfg.RestartRequired(next), g.operators.RestartRequired(ops)...); len(fixed) > 0 {
		g.log.Warn().Strs("keys", fixed).Msg("changed keys that take a restart")
	}
	g.reloadSettings(next)
	g.discovery.SetAddress(next.Discovery)
	g.floating.reload(ops)
	g.members.reload(ops, next.Settings)
	g.maintenance.reload(ops)
	g.log.Info().Str("discovery", next.Discovery).Msg("reloaded")
}

// reloadSettings puts the platform's settings in force, if they have changed.
func (g *Gateway) reloadSettings(next *config.Config) {
	keys := config.Changed(g.settings, next.Settings)
	if len(keys) == 0 {
		return
	}
	g.inForce.Store(next.InForce)
	g.settings = next.Settings
	g.owner.Call(func(c *routing.Core) { c.Reconfigure(next.InForce) })
	g.log.Info().Strs("keys", keys).Msg("settings in force")
}

// warnOfFormerWords logs each former word that the operators' file still writes.
func (g *Gateway) warnOfFormerWords(ops *config.Operators) {
	for _, w := range ops.FormerWords() {
		g.log.Warn().Str("file", w.File).Int("line", w.Line).Str("former", w.Former).Str("new", w.New).Msg("former word in the operators' file")
	}
}
