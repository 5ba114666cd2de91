package datagrams

import (
	"net/netip"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// The bounds of the log lines about dropped datagrams: a flood of garbage must not become a flood of lines.
const (
	dropLinesPerSecond = 1
	dropLinesBurst     = 5
)

// DropLog logs dropped datagrams at a bounded rate, and with each line how many were not logged since the last one. Whoever
// receives a datagram decides whether it is dropped, counts it, and calls Dropped. It belongs to the loop's goroutine.
type DropLog struct {
	log       zerolog.Logger
	text      string
	limit     *rate.Limiter
	notLogged int64
}

// NewDropLog makes a log whose lines have one text.
func NewDropLog(log zerolog.Logger, text string) *DropLog {
	return &DropLog{log: log, text: text, limit: rate.NewLimiter(dropLinesPerSecond, dropLinesBurst)}
}

// Dropped logs a dropped datagram, if the rate allows it, by the name of its fault and its source address.
func (d *DropLog) Dropped(fault string, from netip.AddrPort) {
	if !d.limit.Allow() {
		d.notLogged++
		return
	}
	d.log.Warn().Str("peer", from.String()).Str("fault", fault).Int64("not_logged", d.notLogged).Msg(d.text)
	d.notLogged = 0
}
