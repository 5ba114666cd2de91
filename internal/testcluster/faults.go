package testcluster

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"marblespan/internal/fake"
)

// Play injects faults at their times and repairs each after its duration. At the end it repairs the faults without a duration. If
// quit is closed, it repairs all faults and returns early.
func (c *Cluster) Play(faults []Fault, quit <-chan struct{}) error {
	for _, fault := range faults {
		if err := c.validateFault(fault); err != nil {
			return err
		}
	}
	p := &player{cluster: c, quit: quit, over: make(chan struct{}), errs: make(chan error, len(faults))}
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

// player is the state of one call of Play. Each fault that has to be repaired has a goroutine, which ends after the repair. The
// repair begins at the latest when over or quit is closed. repairs waits for these goroutines.
type player struct {
	cluster *Cluster
	quit    <-chan struct{} // closed by the caller of Play
	over    chan struct{}   // closed after the last fault's duration
	errs    chan error      // buffered, with room for one error per fault
	repairs sync.WaitGroup
}

// waitUntil waits until a time. It reports false if over or quit is closed first.
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

// repair repairs a fault after its duration, or at the end of Play if it has none.
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
func (c *Cluster) injectRecorded(fault Fault) (undo func() error, err error) {
	c.History.Add(Event{Kind: FaultStarted, What: fault.String()})
	end, err := c.Inject(fault)
	return func() error {
		defer c.History.Add(Event{Kind: FaultEnded, What: fault.String()})
		return end()
	}, err
}

// InjectLine injects the fault of a script line and records it. The caller repairs it by calling undo.
func (c *Cluster) InjectLine(line string) (undo func() error, err error) {
	fault, err := ParseFault(line)
	if err == nil {
		err = c.validateFault(fault)
	}
	if err != nil {
		return nil, err
	}
	return c.injectRecorded(fault)
}

// validateFault returns an error if a fault cannot be injected into this cluster.
func (c *Cluster) validateFault(fault Fault) error {
	for _, n := range slices.Concat(fault.From, fault.To) {
		if n > len(c.Nodes) {
			return fmt.Errorf("%q: there is no gateway %d", fault, n)
		}
	}
	if fault.Name == "" || faultKinds[fault.Verb].target == onNodes || fault.Verb == verbSever && fault.Name == Discovery {
		return nil
	}
	anyRole := fault.Verb == verbSever || fault.Verb == verbHandover
	if server := c.server(fault.Name); server == nil || !anyRole && server.primary {
		return fmt.Errorf("%q: the server does not exist, or is a primary, which this fault does not support", fault)
	}
	return nil
}

// affectedNodes returns the gateways that a fault is applied to.
func (c *Cluster) affectedNodes(fault Fault) (list []*Node) {
	for _, n := range c.Nodes {
		if fault.targets(n) {
			list = append(list, n)
		}
	}
	return list
}

// targets reports whether a fault on gateways applies to the given gateway.
func (f Fault) targets(node *Node) bool { return f.From == nil || slices.Contains(f.From, node.Number) }

// Inject injects a fault. undo repairs it, and is nil if there is nothing to repair.
func (c *Cluster) Inject(fault Fault) (undo func() error, err error) {
	if faultKinds[fault.Verb].target == onNodes && fault.Verb != verbFiles {
		return c.injectOnNodes(fault)
	}
	if fault.Verb == verbReset {
		for _, a := range c.Nodes {
			for _, b := range c.Nodes {
				if fault.affects(a.Number, b.Number) {
					for _, p := range c.allPaths() {
						p.ResetStreams(a.Number-1, b.Number-1)
					}
				}
			}
		}
		return nil, nil
	}
	if fault.Verb == verbHandover {
		next := c.server(fault.Name)
		next.group.demote()
		return func() error { next.group.promote(next); return nil }, nil
	}
	if fault.Verb == verbPromote {
		next := c.server(fault.Name)
		c.updateFaults(func() { c.formerPrimary = next.group.promote(next); c.activeFaults = append(c.activeFaults, fault) })
		for _, n := range c.Nodes {
			n.serverRelays[c.formerPrimary.name].ResetStreams()
		}
		c.publishServer(next, next.state)
		c.publishServer(c.formerPrimary, c.formerPrimary.state)
	} else {
		c.updateFaults(func() { c.activeFaults = append(c.activeFaults, fault) })
	}
	return func() error {
		c.updateFaults(func() {
			i := slices.IndexFunc(c.activeFaults, func(y Fault) bool { return y.String() == fault.String() })
			c.activeFaults = slices.Delete(c.activeFaults, i, i+1)
		})
		return nil
	}, nil
}

// injectOnNodes injects a fault of gateways' processes or data directories.
func (c *Cluster) injectOnNodes(fault Fault) (undo func() error, err error) {
	list := c.affectedNodes(fault)
	processes := make([]*process, len(list))
	for i, node := range list {
		processes[i] = node.currentProcess()
	}
	each := func(do func(i int, node *Node) error) error {
		for i, node := range list {
			if err := do(i, node); err != nil {
				return err
			}
		}
		return nil
	}
	switch fault.Verb {
	case verbDisk:
		return nil, each(func(_ int, node *Node) error { return node.changeDisk(fault.Name) })
	case verbKill, verbTerm:
		sig := map[string]syscall.Signal{verbKill: syscall.SIGKILL, verbTerm: syscall.SIGTERM}[fault.Verb]
		each(func(i int, _ *Node) error { return processes[i].signal(sig) })
		return func() error {
			return each(func(i int, node *Node) error {
				<-processes[i].ended
				return node.startUnlessReplaced(processes[i])
			})
		}, nil
	case verbStarve:
		quit := make(chan struct{})
		var done sync.WaitGroup
		for i, node := range list {
			done.Go(func() { node.starve(processes[i], fault.Amount, quit) })
		}
		return func() error { close(quit); done.Wait(); return nil }, nil
	}
	each(func(i int, node *Node) error { node.setPaused(processes[i], true); return nil })
	for _, p := range processes {
		for !p.hasEnded() && !p.isStopped() {
			time.Sleep(time.Millisecond)
		}
	}
	return func() error {
		return each(func(i int, node *Node) error { node.setPaused(processes[i], false); return nil })
	}, nil
}

// updateFaults changes the active faults and then applies them: to the impairments of each path, the servers that each gateway can
// reach, each gateway's file size limit, and the lag and state of the servers.
func (c *Cluster) updateFaults(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
	for _, node := range c.Nodes {
		c.updatePathsFrom(node)
		c.updateRelays(node)
		c.updateFileLimit(node)
	}
	for _, s := range c.servers() {
		c.updateServer(s)
	}
}

// updatePathsFrom sets the impairments of the paths from a gateway to all others. The callers of updatePathsFrom, updateRelays,
// updateFileLimit and updateServer must hold mu.
func (c *Cluster) updatePathsFrom(node *Node) {
	for _, peer := range c.Nodes {
		if node == peer {
			continue
		}
		for _, path := range c.allPaths() {
			path.Set(node.Number-1, peer.Number-1, combinedImpairment(c.activeFaults, node.Number, peer.Number))
		}
	}
}

// updateRelays sets which servers a gateway can reach, and whether it can reach discovery.
func (c *Cluster) updateRelays(node *Node) {
	severed := func(name string) fake.Impairment {
		return fake.Impairment{Drop: slices.ContainsFunc(c.activeFaults, func(fault Fault) bool {
			return fault.Verb == verbSever && fault.Name == name && fault.targets(node) ||
				fault.Verb == verbPromote && c.formerPrimary.name == name
		})}
	}
	for name, relay := range node.serverRelays {
		relay.Set(severed(name), severed(name))
	}
	node.discoveryRelay.Set(severed(Discovery), severed(Discovery))
}

// updateFileLimit sets the maximum size of a gateway's files.
func (c *Cluster) updateFileLimit(node *Node) {
	maxSize := noFileLimit
	for _, fault := range c.activeFaults {
		switch {
		case fault.Verb != verbFiles || !fault.targets(node):
		case fault.Name == "full":
			maxSize = min(maxSize, node.largestFile())
		default:
			maxSize = 0
		}
	}
	node.limitFiles(maxSize)
}

// updateServer sets the lag and the published state of a server.
func (c *Cluster) updateServer(s *server) {
	lag, state := time.Duration(0), stateReady
	for _, fault := range c.activeFaults {
		switch {
		case fault.Name != s.name:
		case fault.Verb == verbLag:
			lag = max(lag, fault.Delay)
		case fault.Verb == verbDrain:
			state = stateDraining
		}
	}
	s.group.setLag(s, lag)
	c.setServerState(s, state)
}

// combinedImpairment combines all active faults of one direction between two gateways into one impairment.
func combinedImpairment(active []Fault, from, to int) (out fake.Impairment) {
	for _, fault := range active {
		if !fault.affects(from, to) {
			continue
		}
		switch fault.Verb {
		case verbCut, verbSplit:
			out.Drop = true
		case verbStall:
			out.StallStreams = true
		case verbLoss:
			out.LossRate = 1 - (1-out.LossRate)*(1-fault.Amount)
		case verbDelay:
			out.Delay, out.Jitter = out.Delay+fault.Delay, out.Jitter+fault.Jitter
		case verbDuplicate:
			out.Duplicates += int(fault.Amount)
		case verbReorder:
			out.Reorder = true
		case verbSlow:
			if rate := int(fault.Amount); out.Rate == 0 || rate < out.Rate {
				out.Rate = rate
			}
		}
	}
	return out
}

// setServerState sets the state of a server on the endpoint list, and publishes the state if it has changed.
func (c *Cluster) setServerState(s *server, state string) {
	if s.group.setState(s, state) {
		c.publishServer(s, state)
	}
}

// publishServer makes discovery send the current state of a server to every gateway.
func (c *Cluster) publishServer(s *server, state string) {
	for _, n := range c.Nodes {
		n.discovery.Push(s.target(n.serverRelays[s.name].Addr()))
		c.History.Add(Event{Kind: EndpointUpdateSent, Node: n.Number, Server: s.name, What: state})
	}
}
