package maintenance

import "testing"

func TestEveryCauseHasText(t *testing.T) {
	for c := NoCause + 1; c < causeCount; c++ {
		if reasonTexts[c] == "" {
			t.Errorf("cause %d has no text", c)
		}
	}
	if text := (Reason{}).String(); text != "" || (Reason{}).exists() {
		t.Errorf("the text of the zero Reason is %q, want an empty text", text)
	}
}

// Operators see these texts, and docs/maintenance.md quotes them.
func TestReasonText(t *testing.T) {
	for _, c := range []struct {
		name   string
		reason Reason
		want   string
	}{
		{"paused", because(AllPaused), "an operator's go: all are held"},
		{"dead", about(GatewayDead, "gw-1"), "gw-1 is dead"},
		{"silent", about(GatewaySilent, "gw-1"), "gw-1 has not reported lately"},
		{"load", Reason{Cause: TooMuchLoad, Count: 93}, "those that stay would have to carry 93 % of what they can"},
		{"places", about(PlacesTaken, "gw-2, which is out"), "its turn, after gw-2, which is out"},
		{"zone", Reason{Cause: ZoneNotReady, Subject: "z\"1"}, `zone "z\"1" would be left with 0 gateways that are ready`},
		{"shared shard", Reason{Cause: SharedShard, Subject: "gw-2", Detail: "leaving"}, "gw-2 holds a shard that it holds too, and is leaving"},
		{"migration", Reason{Cause: ShardsMigrating, Count: 3}, "3 shards that move to other gateways, for it is out for longer than repair-after"},
		{"busy gateways", about(ServerQuiescence, "gw-1, gw-2"), "the word of gw-1, gw-2 that nothing is out there"},
		{"unreachable gateways", Reason{Cause: GatewaysUnreachable, Detail: "gw-3"}, "gw-3 cannot be reached and may still send there: say go if it cannot"},
		{"busy and unreachable gateways", Reason{Cause: ServerQuiescenceAndUnreachable, Subject: "gw-1", Detail: "gw-3"},
			"the word of gw-1 that nothing is out there; gw-3 cannot be reached and may still send there: say go if it cannot"},
		{"placeholder in a name is not replaced", about(GatewayDead, "{count}"), "{count} is dead"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.reason.String(); got != c.want {
				t.Errorf("the text is %q, want %q", got, c.want)
			}
		})
	}
}
