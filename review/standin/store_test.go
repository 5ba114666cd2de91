//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// storeConf returns an operators' file with members and a state store for one of several gateways. more is added at its end.
func storeConf(dir string, i int, binds []string, marks, more string) string {
	name := fmt.Sprint("gw-", i+1)
	return fmt.Sprintf(`control %s
members
    node %s
    bind %s
    join %s
    key 1 "a secret of this case only"
state-store
    raft-nodes all
    voters 3
    shards 4
    storage disk %s
    witness %s
%s%s`, filepath.Join(dir, name+".sock"), name, binds[i], strings.Join(binds, " "), filepath.Join(dir, name+".db"), filepath.Join(dir, name+".witness"), marks, more)
}

// ask runs one of the operators' commands against a gateway.
func (r *run) ask(name string, words ...string) ([]byte, error) {
	return exec.Command("bin/marblespan", append(words, "--conf", filepath.Join(r.dir, name+".conf"))...).CombinedOutput()
}

// bootstrap begins the state store and waits until every group has all its replicas.
func (r *run) bootstrap(name string, replicas int) error {
	var out []byte
	var err error
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if out, err = r.ask(name, "state-store", "bootstrap", "--first"); err == nil || strings.Contains(string(out), "already") {
			err = nil
			break
		}
	}
	if err != nil {
		return fmt.Errorf("bootstrap: %v: %s", err, out)
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		var status struct {
			Groups []struct {
				Replicas []any `json:"replicas"`
				Adding   any   `json:"adding"`
			} `json:"groups"`
		}
		if out, err = r.ask(name, "state-store", "--json"); err != nil || json.Unmarshal(out, &status) != nil {
			continue
		}
		whole := len(status.Groups) > 0
		for _, g := range status.Groups {
			whole = whole && len(g.Replicas) == replicas && g.Adding == nil
		}
		if whole {
			r.note("the state store has %d replicas of each of %d groups", replicas, len(status.Groups))
			return nil
		}
	}
	return fmt.Errorf("the state store was not whole in time: %s", out)
}
