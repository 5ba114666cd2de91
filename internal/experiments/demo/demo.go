// Package demo shows a small test cluster to newcomers: fake servers and discovery, and real gateways with a floating address on loopback
// under a light load, with one fault if requested. marblespan-bench demo calls Run.
package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"marblespan/internal/testcluster"
)

// Faults maps the name of each fault that the demo can show to its script and description.
var Faults = map[string]struct{ Script, What string }{
	"kill":  {"at 4s kill 1 for 4s", "gateway 1 is killed, and started again after 4 s"},
	"stop":  {"at 4s stop 1 for 4s", "gateway 1 is paused for 4 s"},
	"cut":   {"at 4s cut all -> 1 for 4s", "gateway 1 receives nothing from the other gateways for 4 s, but they receive what it sends"},
	"split": {"at 4s split 1 | 2,3 for 4s", "gateway 1 and the other gateways receive nothing from each other for 4 s"},
}

// FaultNames returns the names of the faults, sorted.
func FaultNames() (all []string) {
	for name := range Faults {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// Run starts a cluster under a light load, injects the named fault unless fault is empty, and prints a line every second. It ends when
// quit is closed or the duration has passed; a duration of 0 sets no limit.
func Run(o testcluster.Options, fault string, duration time.Duration, w io.Writer, quit <-chan struct{}) error {
	shown, known := Faults[fault]
	if fault != "" && !known {
		return fmt.Errorf("unknown fault %q; known faults: %s", fault, strings.Join(FaultNames(), ", "))
	}
	faults, err := testcluster.ParseScript("demo", shown.Script)
	if err != nil {
		return err
	}
	cluster, err := testcluster.New(o)
	if err != nil {
		return err
	}
	defer cluster.Close()
	if err := cluster.AwaitActiveRouter(0, 10*time.Second); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d gateways with one floating address, a primary and %d replicas; all but the gateways are fakes. Query them with:\n\n", o.Nodes, o.Replicas)
	fmt.Fprintf(w, "    psql \"host=%s port=%s user=backend dbname=store sslmode=disable\" \\\n", host(cluster.Switch.Addr()), port(cluster.Switch.Addr()))
	fmt.Fprintf(w, "      -c \"/* id=1,c=%s,d=900,cluster=%d */ SELECT content FROM kv WHERE name = 'a'\"\n\n", testcluster.ClassView, testcluster.FirstGroup)
	for _, n := range cluster.Nodes {
		fmt.Fprintf(w, "gateway %d directly: host=%s port=%s\n", n.Number, host(n.Listen), port(n.Listen))
	}
	if known {
		fmt.Fprintf(w, "\nAfter 4 s: %s.\n", shown.What)
	}
	fmt.Fprintf(w, "\nResponses per second by gateway (* holds the floating address), then requests run by each server. Press Ctrl-C to stop.\n\n")
	l := cluster.Load(testcluster.DefaultLoad())
	defer l.Stop()
	played := make(chan error, 1)
	stopFaults := make(chan struct{})
	go func() { played <- cluster.Play(faults, stopFaults) }()
	defer func() { close(stopFaults); <-played }()
	return printSeconds(cluster, duration, w, quit)
}

// printSeconds prints a line each second, until quit is closed or the duration has passed. A duration of 0 sets no limit.
func printSeconds(f *testcluster.Cluster, duration time.Duration, w io.Writer, quit <-chan struct{}) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	seen, second := 0, 0
	for elapsed := time.Duration(0); ; {
		select {
		case <-quit:
			return nil
		case <-tick.C:
		}
		second++
		if elapsed += time.Second; duration > 0 && elapsed > duration {
			return nil
		}
		events := f.History.Events()
		fmt.Fprintln(w, summaryLine(f, second, events, seen))
		seen = len(events)
	}
}

// summaryLine formats what happened in one second, events[from:]: the responses by gateway, the requests by server, and the faults that
// began or ended.
func summaryLine(f *testcluster.Cluster, second int, events []testcluster.Event, from int) string {
	outcomesByGateway, runsByServer := map[int]map[string]int{}, map[string]int{}
	var faultChanges []string
	for _, e := range events[from:] {
		switch e.Kind {
		case testcluster.ResponseReceived:
			if outcomesByGateway[e.Node] == nil {
				outcomesByGateway[e.Node] = map[string]int{}
			}
			outcomesByGateway[e.Node][e.What]++
		case testcluster.RequestExecuted:
			runsByServer[e.Server]++
		case testcluster.FaultStarted, testcluster.FaultEnded:
			faultChanges = append(faultChanges, string(e.Kind)+" "+strings.TrimPrefix(e.What, "at 4s "))
		}
	}
	holders := testcluster.ActiveRouters(events)
	words := []string{fmt.Sprintf("%3ds", second)}
	for _, n := range f.Nodes {
		holderMark := " "
		if holders[n.Number] {
			holderMark = "*"
		}
		words = append(words, fmt.Sprintf("%sgateway %d: %-14s", holderMark, n.Number, formatCounts(outcomesByGateway[n.Number])))
	}
	return strings.TrimRight(strings.Join(append(words, "| "+formatCounts(runsByServer), strings.Join(faultChanges, "; ")), " "), " ")
}

func formatCounts(countsByName map[string]int) string {
	if len(countsByName) == 0 {
		return "-"
	}
	var names []string
	for name := range countsByName {
		names = append(names, name)
	}
	slices.Sort(names)
	var words []string
	for _, name := range names {
		words = append(words, fmt.Sprintf("%d %s", countsByName[name], name))
	}
	return strings.Join(words, ", ")
}

func host(addr string) string { return addr[:strings.LastIndex(addr, ":")] }

func port(addr string) string { return addr[strings.LastIndex(addr, ":")+1:] }
