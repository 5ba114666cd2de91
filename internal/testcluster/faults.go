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
	for _, x := range faults {
		if err := f.validateFault(x); err != nil {
			return err
		}
	}
	begin := time.Now()
	var ends sync.WaitGroup
	errs := make(chan error, len(faults))
	over := make(chan struct{})
	wait := func(at time.Time) bool {
		select {
		case <-time.After(time.Until(at)):
			return true
		case <-over:
			return false
		case <-quit:
			return false
		}
	}
	for _, x := range faults {
		if !wait(begin.Add(x.At)) {
			break
		}
		f.History.Add(Event{Kind: FaultStarted, What: x.String()})
		undo, err := f.Inject(x)
		if err != nil {
			errs <- err
			break
		}
		if undo == nil {
			continue
		}
		ends.Add(1)
		go func() {
			defer ends.Done()
			if x.Duration > 0 {
				wait(time.Now().Add(x.Duration))
			} else {
				select {
				case <-over:
				case <-quit:
				}
			}
			if err := undo(); err != nil {
				errs <- err
			}
			f.History.Add(Event{Kind: FaultEnded, What: x.String()})
		}()
	}
	last := begin
	for _, x := range faults {
		if end := begin.Add(x.At + x.Duration); end.After(last) {
			last = end
		}
	}
	wait(last)
	close(over)
	ends.Wait()
	close(errs)
	return <-errs
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
