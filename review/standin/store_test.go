//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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

// marksAtEnd: a gateway that is told to end answers all that it has taken, also what waits for a state store without a majority.
func marksAtEnd(r *run) error {
	const (
		killAfter = 3*time.Second + 700*time.Millisecond // the longest deadline is 5 s, counted as 3 s
		work      = 100 * time.Millisecond
	)
	var list []target
	var servers []*server
	for i, role := range []string{"primary", "replica", "replica"} {
		s, err := r.startServer(fmt.Sprint("s-", i+1), role)
		if err != nil {
			return err
		}
		s.handle = func(q *query) {
			time.Sleep(work)
			r.note("server %s ran id=%s", s.name, q.id)
			q.answer()
		}
		servers = append(servers, s)
		list = append(list, targetOf(s.name, s.addr(), role))
	}
	disc, err := r.startDiscovery(list)
	if err != nil {
		return err
	}
	classes := []class{
		{"basket", "free", "causal", 800, 5000, 0},
		{"order", "single_shot", "mutate", 750, 5000, 0},
	}
	binds := []string{freeUDP(), freeUDP(), freeUDP()}
	var gateways []*gateway
	for i := range 3 {
		g, err := r.startGateway(fmt.Sprint("gw-", i+1), disc, list, settings(3, i, classes), storeConf(r.dir, i, binds, "    session-marks order basket\n", ""))
		if err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.ready(10 * time.Second); err != nil {
			return err
		}
	}
	if err := r.bootstrap("gw-1", 3); err != nil {
		return err
	}
	last := gateways[0]
	var clients sync.WaitGroup
	var told atomic.Int64 // when the last gateway was told to end; 0: not yet
	stop := time.Now().Add(9 * time.Second)
	var loads []*load
	for n := range 8 {
		l := &load{run: r, name: fmt.Sprint("client ", n), stop: stop, pause: 10 * time.Millisecond}
		l.addrs = func() []string { // new connections keep coming for 0.4 s after SIGTERM; then there is no gateway left
			if at := told.Load(); at != 0 && time.Since(time.UnixMicro(at)) > 400*time.Millisecond {
				return nil
			}
			return []string{last.listen}
		}
		l.next = func(i int) (string, string, string, int) {
			id, key, wait := fmt.Sprintf("q%d-%d", n, i), fmt.Sprintf("session-%d", n), 4600+50*n // of 5 s: clients give a try up after 42 to 100%
			if i == 0 {
				return "order", id, insertOf(id, "order", key, "v"+id, wait, ""), wait
			}
			return "basket", id, selectOf(id, "basket", key, wait, ""), wait
		}
		loads = append(loads, l)
		l.go_(&clients)
	}
	time.Sleep(2 * time.Second)
	var sigterm, ended time.Time
	killed := false
	if r.trouble {
		gateways[1].signal(syscall.SIGKILL)
		gateways[2].signal(syscall.SIGKILL)
		last.signal(syscall.SIGTERM)
		sigterm = time.Now()
		told.Store(sigterm.UnixMicro())
		if killed = !last.hasEnded(killAfter); killed {
			last.signal(syscall.SIGKILL)
		}
		ended = time.Now()
		r.note("%s ended %v after SIGTERM", last.name, ended.Sub(sigterm).Round(time.Millisecond))
	}
	clients.Wait()
	r.checkUnanswered(loads, servers, sigterm, ended, killed)
	return nil
}
