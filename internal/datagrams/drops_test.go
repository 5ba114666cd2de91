package datagrams

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// TestDropLogIsBounded checks that a flood of dropped datagrams is logged as a few lines, with the fault and the source.
func TestDropLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	d := NewDropLog(zerolog.New(&out), "message dropped")
	from := netip.MustParseAddrPort("192.0.2.1:7946")
	for range 1000 {
		d.Dropped("mac", from)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) < dropLinesBurst || len(lines) > dropLinesBurst+20 {
		t.Fatalf("%d lines for 1000 drops", len(lines))
	}
	if want := `{"level":"warn","peer":"192.0.2.1:7946","fault":"mac","not_logged":0,"message":"message dropped"}`; lines[0] != want {
		t.Errorf("got %s, want %s", lines[0], want)
	}
	if d.notLogged == 0 {
		t.Error("no drop was counted as not logged")
	}
}
