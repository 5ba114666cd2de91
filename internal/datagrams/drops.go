package datagrams

import (
	"net/netip"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// The rate limit of log lines about dropped datagrams. It keeps a flood of garbage from flooding the log.
const (
	dropLinesPerSecond = 1
	dropLinesBurst     = 5
)

// DropLog logs dropped datagrams at a limited rate. Each line has the number of drops that were not logged since the line before.
// The handler of the datagrams drops and counts a datagram, and then calls Dropped. A DropLog may only be used on the loop's
// goroutine.
type DropLog struct {
	log       zerolog.Logger
	text      string
	limit     *rate.Limiter
	notLogged int64
}

// NewDropLog returns a DropLog whose lines all have the same message.
func NewDropLog(log zerolog.Logger, text string) *DropLog {
	return &DropLog{log: log, text: text, limit: rate.NewLimiter(dropLinesPerSecond, dropLinesBurst)}
}

// Dropped logs a dropped datagram with the name of its fault and its source address, if the rate limit allows it.
func (d *DropLog) Dropped(fault string, from netip.AddrPort) {
	if !d.limit.Allow() {
		d.notLogged++
		return
	}
	d.log.Warn().Str("peer", from.String()).Str("fault", fault).Int64("not_logged", d.notLogged).Msg(d.text)
	d.notLogged = 0
}
