//go:build review

package standin2

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Classes with sessions, as the operators' pages have them: a booking, reads of one's own bookings, and a look at any data.
const sessionClasses = `[
 {"name": "booking", "aim_ms": 750, "give_up_ms": 5000, "effect": "single_shot", "group": "all", "key_ttl_ms": 5000, "points": 3, "late_worth": 0.5, "stream": false},
 {"name": "mine", "aim_ms": 800, "give_up_ms": 4000, "effect": "free", "group": "all", "key_ttl_ms": 5000, "points": 2, "late_worth": 0.2, "stream": false},
 {"name": "seat", "aim_ms": 500, "give_up_ms": 2000, "effect": "free", "group": "all", "key_ttl_ms": 5000, "points": 1, "late_worth": 0.2, "stream": false}]`

// sessionSettings puts these classes into the settings of deploy/sample.json.
func sessionSettings(c map[string]any, gateways, ordinal int, checks, marks string) {
	s := c["settings"].(map[string]any)
	s["balancers"], s["ordinal"] = gateways, ordinal
	s["classes"] = json.RawMessage(sessionClasses)
	wait := 0.0
	if checks == "await" {
		wait = 50
	}
	s["family_info"] = map[string]any{
		"answers_stamped": true, "checks": checks, "counted_from_ms": 0.0, "freshness": []string{"mutate", "causal", "strong"},
		"oldest_data_ms": []float64{0, 0, 0}, "wait_ms": wait, "write_marks": marks,
	}
}

// cluster is some gateways that know each other and have a state store.
type cluster struct {
	rec      *record
	gateways []*gateway
}

// newCluster writes the operators' files. The text more is added to each; %DIR% in it stands for the gateway's folder.
func newCluster(rec *record, dir string, n int, more string) *cluster {
	c := &cluster{rec: rec}
	var joins []string
	for range n {
		joins = append(joins, freePort("127.0.0.1"))
	}
	for i := range n {
		g := newGateway(rec, dir, fmt.Sprint("gw-", i+1))
		text := fmt.Sprintf("control %s\nmembers\n node %s\n bind %s\n join %s\n key 1 \"a secret of this review\"\n", filepath.Join(g.dir, "ctl"),
			g.name, joins[i], strings.Join(joins, " "))
		text += strings.ReplaceAll(more, "%DIR%", g.dir)
		conf := filepath.Join(g.dir, "conf")
		if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
			cannotRun("%v", err)
		}
		g.env = []string{"MARBLESPAN_CONF=" + conf}
		c.gateways = append(c.gateways, g)
	}
	return c
}

// ask runs an operators' command at a gateway.
func (c *cluster) ask(g *gateway, words ...string) ([]byte, error) {
	cmd := exec.Command("bin/marblespan", append(words, "--conf", filepath.Join(g.dir, "conf"))...)
	return cmd.CombinedOutput()
}

// bootstrap makes the state store and waits until every group has its voters and a leader.
func (c *cluster) bootstrap(voters int) {
	var text []byte
	var err error
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if text, err = c.ask(c.gateways[0], "state-store", "bootstrap", "--first"); err == nil {
			break
		}
		if time.Now().After(end) {
			cannotRun("bootstrap: %v %s", err, text)
		}
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		if c.complete(voters) {
			c.rec.say("the state store is complete")
			return
		}
		if time.Now().After(end) {
			cannotRun("the state store is not complete")
		}
	}
}

type storeStatus struct {
	Groups []struct {
		Group    uint32 `json:"group"`
		Replicas []struct {
			Gateway string `json:"node"`
		} `json:"replicas"`
		Here *struct {
			Leader string `json:"leader"`
		} `json:"here"`
	} `json:"groups"`
}

func (c *cluster) complete(voters int) bool {
	for _, g := range c.gateways {
		var s storeStatus
		text, err := c.ask(g, "state-store", "--json")
		if err != nil || json.Unmarshal(text, &s) != nil || len(s.Groups) < 2 {
			return false
		}
		for _, group := range s.Groups {
			if len(group.Replicas) != voters || group.Here != nil && group.Here.Leader == "" {
				return false
			}
		}
	}
	return true
}

// rewriteConf replaces a text in the gateway's operators' file.
func (g *gateway) rewriteConf(from, to string) {
	path := filepath.Join(g.dir, "conf")
	raw, err := os.ReadFile(path)
	if err == nil {
		err = os.WriteFile(path, []byte(strings.ReplaceAll(string(raw), from, to)), 0o600)
	}
	if err != nil {
		cannotRun("%v", err)
	}
}
