package testcluster

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"marblespan/internal/fake"
)

// Play injects faults at their times and repairs each after its duration; at the end it repairs what is left. It returns early,
// with everything repaired, when quit is closed.
func (f *Cluster) Play(faults []Fault, quit <-chan struct{}) error {
	for _, fault := range faults {
		if err := f.validateFault(fault); err != nil {
			return err
		}
	}
	p := &player{cluster: f, quit: quit, over: make(chan struct{}), errs: make(chan error, len(faults))}
	start := time.Now()
	end := start
	for _, fault := range faults {
		if !p.waitUntil(start.Add(fault.At)) || !p.begin(fault) {
			break
		}
	}
	for _, fault := range faults {
		if repaired := start.Add(fault.At + fault.Duration); repaired.After(end) {
			end = repaired
		}
	}
	p.waitUntil(end)
	close(p.over)
	p.repairs.Wait()
	close(p.errs)
	return <-p.errs
}

// player is one call of Play. Each fault that has to be repaired has a goroutine that ends with its repair, at the latest when
// over or quit is closed; repairs waits for them.
type player struct {
	cluster *Cluster
	quit    <-chan struct{} // closed by the caller of Play
	over    chan struct{}   // closed after the last fault's duration
	errs    chan error      // has room for one error per fault
	repairs sync.WaitGroup
}

// waitUntil waits until a time; it reports false if the play ended before.
func (p *player) waitUntil(at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-p.over:
		return false
	case <-p.quit:
		return false
	}
}

// begin injects a fault and starts the goroutine that repairs it. It reports false if the fault could not be injected.
func (p *player) begin(fault Fault) bool {
	p.cluster.History.Add(Event{Kind: FaultStarted, What: fault.String()})
	undo, err := p.cluster.Inject(fault)
	if err != nil {
		p.errs <- err
		return false
	}
	if undo != nil {
		p.repairs.Go(func() { p.repair(fault, undo) })
	}
	return true
}

// repair repairs a fault after its duration, or at the end of the play.
func (p *player) repair(fault Fault, undo func() error) {
	if fault.Duration > 0 {
		p.waitUntil(time.Now().Add(fault.Duration))
	} else {
		select {
		case <-p.over:
		case <-p.quit:
		}
	}
	if err := undo(); err != nil {
		p.errs <- err
	}
	p.cluster.History.Add(Event{Kind: FaultEnded, What: fault.String()})
}

// injectRecorded injects a fault and records its start and end. The caller repairs it by calling undo.
func (f *Cluster) injectRecorded(x Fault) (undo func() error, err error) {
	f.History.Add(Event{Kind: FaultStarted, What: x.String()})
	end, err := f.Inject(x)
	return func() error {
		defer f.History.Add(Event{Kind: FaultEnded, What: x.String()})
		return end()
	}, err
}

// InjectLine injects the fault of a script line and records it. The caller repairs it by calling undo.
func (f *Cluster) InjectLine(line string) (undo func() error, err error) {
	x, err := ParseFault(line)
	if err == nil {
		err = f.validateFault(x)
	}
	if err != nil {
		return nil, err
	}
	return f.injectRecorded(x)
}

// validateFault checks that a fault can be injected into this cluster.
func (f *Cluster) validateFault(x Fault) error {
	for _, n := range slices.Concat(x.From, x.To) {
		if n > len(f.Nodes) {
			return fmt.Errorf("%q: there is no gateway %d", x, n)
		}
	}
	if x.Name == "" || faultKinds[x.Verb].target == onNodes || x.Verb == "sever" && x.Name == Discovery {
		return nil
	}
	if s := f.server(x.Name); s == nil || x.Verb != "sever" && s.primary {
		return fmt.Errorf("%q: there is no such server, or not for this", x)
	}
	return nil
}

// affectedNodes are the gateways that a fault is applied to.
func (f *Cluster) affectedNodes(x Fault) (list []*Node) {
	for _, n := range f.Nodes {
		if x.From == nil || slices.Contains(x.From, n.Number) {
			list = append(list, n)
		}
	}
	return list
}

// Inject injects a fault. undo repairs it; nil if there is nothing to repair.
func (f *Cluster) Inject(x Fault) (undo func() error, err error) {
	if faultKinds[x.Verb].target == onNodes && x.Verb != "files" {
		return f.injectOnNodes(x)
	}
	if x.Verb == "reset" {
		for _, a := range f.Nodes {
			for _, b := range f.Nodes {
				if x.affects(a.Number, b.Number) {
					for _, p := range f.allPaths() {
						p.ResetStreams(a.Number-1, b.Number-1)
					}
				}
			}
		}
		return nil, nil
	}
	if x.Verb == "promote" {
		next := f.server(x.Name)
		f.updateFaults(func() { f.formerPrimary = next.group.promote(next); f.activeFaults = append(f.activeFaults, x) })
		for _, n := range f.Nodes {
			n.serverRelays[f.formerPrimary.name].ResetStreams()
		}
		f.publishServer(next, next.state)
		f.publishServer(f.formerPrimary, f.formerPrimary.state)
	} else {
		f.updateFaults(func() { f.activeFaults = append(f.activeFaults, x) })
	}
	return func() error {
		f.updateFaults(func() {
			i := slices.IndexFunc(f.activeFaults, func(y Fault) bool { return y.String() == x.String() })
			f.activeFaults = slices.Delete(f.activeFaults, i, i+1)
		})
		return nil
	}, nil
}

func (f *Cluster) injectOnNodes(x Fault) (undo func() error, err error) {
	list := f.affectedNodes(x)
	lives := make([]*process, len(list))
	for i, n := range list {
		lives[i] = n.currentProcess()
	}
	each := func(do func(i int, n *Node) error) error {
		for i, n := range list {
			if err := do(i, n); err != nil {
				return err
			}
		}
		return nil
	}
	switch x.Verb {
	case "disk":
		return nil, each(func(_ int, n *Node) error { return n.changeDisk(x.Name) })
	case "kill", "term":
		sig := map[string]syscall.Signal{"kill": syscall.SIGKILL, "term": syscall.SIGTERM}[x.Verb]
		each(func(i int, _ *Node) error { return lives[i].signal(sig) })
		return func() error {
			return each(func(i int, n *Node) error {
				<-lives[i].ended
				return n.startUnlessReplaced(lives[i])
			})
		}, nil
	case "starve":
		quit := make(chan struct{})
		var done sync.WaitGroup
		for i, n := range list {
			done.Add(1)
			go func() { defer done.Done(); n.starve(lives[i], x.Amount, quit) }()
		}
		return func() error { close(quit); done.Wait(); return nil }, nil
	}
	each(func(i int, n *Node) error { n.setPaused(lives[i], true); return nil })
	for _, p := range lives {
		for !p.hasEnded() && !p.isStopped() {
			time.Sleep(time.Millisecond)
		}
	}
	return func() error {
		return each(func(i int, n *Node) error { n.setPaused(lives[i], false); return nil })
	}, nil
}

// updateFaults changes the active faults, then sets all that follows from them: the fate of each path, which servers each gateway
// reaches, its file size limit, and the lag and state of the servers.
func (f *Cluster) updateFaults(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	for _, a := range f.Nodes {
		for _, b := range f.Nodes {
			if a == b {
				continue
			}
			for _, p := range f.allPaths() {
				p.Set(a.Number-1, b.Number-1, combinedFate(f.activeFaults, a.Number, b.Number))
			}
		}
		severed := func(name string) fake.Impairment {
			return fake.Impairment{Drop: slices.ContainsFunc(f.activeFaults, func(x Fault) bool {
				return x.Verb == "sever" && x.Name == name && (x.From == nil || slices.Contains(x.From, a.Number)) ||
					x.Verb == "promote" && f.formerPrimary.name == name
			})}
		}
		for name, r := range a.serverRelays {
			r.Set(severed(name), severed(name))
		}
		a.discoveryRelay.Set(severed(Discovery), severed(Discovery))
		bound := noFileLimit
		for _, x := range f.activeFaults {
			switch {
			case x.Verb != "files" || x.From != nil && !slices.Contains(x.From, a.Number):
			case x.Name == "full":
				bound = min(bound, a.largestFile())
			default:
				bound = 0
			}
		}
		a.limitFiles(bound)
	}
	for _, s := range f.servers() {
		lag, state := time.Duration(0), "ready"
		for _, x := range f.activeFaults {
			switch {
			case x.Name != s.name:
			case x.Verb == "lag":
				lag = max(lag, x.Delay)
			case x.Verb == "drain":
				state = "draining"
			}
		}
		s.group.setLag(s, lag)
		f.setServerState(s, state)
	}
}

// combinedFate combines all active faults of one direction between two gateways.
func combinedFate(active []Fault, from, to int) (out fake.Impairment) {
	for _, x := range active {
		if !x.affects(from, to) {
			continue
		}
		switch x.Verb {
		case "cut", "split":
			out.Drop = true
		case "stall":
			out.StallStreams = true
		case "loss":
			out.LossRate = 1 - (1-out.LossRate)*(1-x.Amount)
		case "delay":
			out.Delay, out.Jitter = out.Delay+x.Delay, out.Jitter+x.Jitter
		case "duplicate":
			out.Duplicates += int(x.Amount)
		case "reorder":
			out.Reorder = true
		case "slow":
			if rate := int(x.Amount); out.Rate == 0 || rate < out.Rate {
				out.Rate = rate
			}
		}
	}
	return out
}

// setServerState publishes the state of a server if it has changed.
func (f *Cluster) setServerState(s *server, state string) {
	if s.group.setState(s, state) {
		f.publishServer(s, state)
	}
}

// publishServer has discovery send every gateway the current state of a server.
func (f *Cluster) publishServer(s *server, state string) {
	for _, n := range f.Nodes {
		n.discovery.Push(s.target(n.serverRelays[s.name].Addr()))
		f.History.Add(Event{Kind: EndpointUpdateSent, Node: n.Number, Server: s.name, What: state})
	}
}
