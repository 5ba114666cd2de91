package gateway

import (
	"marblespan/internal/config"
	"marblespan/internal/routing"
)

// Reload applies the settings that may change while the gateway runs. err is the error of reading the configurations; if it is
// not nil, Reload logs it and changes nothing.
//
// A reload changes:
//
//   - all of the platform's settings (classes, policy and the like), at one moment;
//   - the address of discovery;
//   - in the operators' file: the keys, join addresses, via, zone, weight and interval of members; the peers, keys, announcements,
//     priorities and timers of vrrp and group; all of maintenance except the default duration of the work.
//
// Other changes are logged and take effect only at a restart. config.Config.RestartRequired and config.Operators.RestartRequired
// list them: the gateway's name, its listener and its limits; the control socket, the state-store and in-doubt sections; the
// gateway's identity among the members and at its floating addresses; and whether a section is present at all.
func (g *Gateway) Reload(next *config.Config, ops *config.Operators, err error) {
	g.reloadMutex.Lock()
	defer g.reloadMutex.Unlock()
	if err != nil {
		g.log.Error().Err(err).Msg("reload failed, keeping the old configuration")
		return
	}
	g.warnOfFormerWords(ops)
	if fixed := append(g.cfg.RestartRequired(next), g.operators.RestartRequired(ops)...); len(fixed) > 0 {
		g.log.Warn().Strs("keys", fixed).Msg("changed keys require a restart")
	}
	g.reloadSettings(next)
	g.discovery.SetAddress(next.Discovery)
	g.floating.reload(ops)
	g.members.reload(ops, next.Settings)
	g.maintenance.reload(ops)
	g.log.Info().Str("discovery", next.Discovery).Msg("reloaded")
}

// reloadSettings puts the platform's settings into force if they have changed.
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

// warnOfFormerWords logs a warning for each former name of a directive or value that the operators' file still uses.
func (g *Gateway) warnOfFormerWords(ops *config.Operators) {
	for _, w := range ops.FormerWords() {
		g.log.Warn().Str("file", w.File).Int("line", w.Line).Str("former", w.Former).Str("new", w.New).Msg("former word in the operators' file")
	}
}
