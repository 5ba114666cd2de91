package testcluster

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"marblespan/internal/fake"
)

// Play brings faults about at their times and puts each right after its span; then it puts right all that is left. It
// returns early, with all put right, when quit is closed.
func (f *Cluster) Play(faults []Fault, quit <-chan struct{}) error {
	for _, x := range faults {
		if err := f.fits(x); err != nil {
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

// inflict brings a fault about as Play does, told in the history, and leaves it to its caller to put it right.
func (f *Cluster) inflict(x Fault) (undo func() error, err error) {
	f.History.Add(Event{Kind: FaultStarted, What: x.String()})
	end, err := f.Inject(x)
	return func() error {
		defer f.History.Add(Event{Kind: FaultEnded, What: x.String()})
		return end()
	}, err
}

// Inflict brings the fault of a line about, told in the history, and leaves it to its caller to put it right.
func (f *Cluster) InjectLine(line string) (undo func() error, err error) {
	x, err := ParseFault(line)
	if err == nil {
		err = f.fits(x)
	}
	if err != nil {
		return nil, err
	}
	return f.inflict(x)
}

// fits tells whether a fault can be brought about in this fleet.
func (f *Cluster) fits(x Fault) error {
	for _, n := range slices.Concat(x.From, x.To) {
		if n > len(f.Nodes) {
			return fmt.Errorf("%q: there is no gateway %d", x, n)
		}
	}
	if x.Name == "" || verbs[x.Verb].shape == onNodes || x.Verb == "sever" && x.Name == Discovery {
		return nil
	}
	if s := f.server(x.Name); s == nil || x.Verb != "sever" && s.primary {
		return fmt.Errorf("%q: there is no such server, or not for this", x)
	}
	return nil
}

// concerned lists the gateways that a fault is done to.
func (f *Cluster) concerned(x Fault) (list []*Node) {
	for _, n := range f.Nodes {
		if x.From == nil || slices.Contains(x.From, n.Number) {
			list = append(list, n)
		}
	}
	return list
}

// Begin brings a fault about. The function that it returns puts it right; none where there is nothing to put right.
func (f *Cluster) Inject(x Fault) (undo func() error, err error) {
	if verbs[x.Verb].shape == onNodes && x.Verb != "files" {
		return f.beginOnNodes(x)
	}
	if x.Verb == "reset" {
		for _, a := range f.Nodes {
			for _, b := range f.Nodes {
				if x.spoils(a.Number, b.Number) {
					for _, p := range f.paths() {
						p.ResetStreams(a.Number-1, b.Number-1)
					}
				}
			}
		}
		return nil, nil
	}
	if x.Verb == "promote" {
		next := f.server(x.Name)
		f.change(func() { f.fallen = next.of.promote(next); f.active = append(f.active, x) })
		for _, n := range f.Nodes {
			n.servers[f.fallen.name].ResetStreams()
		}
		f.announce(next, next.state)
		f.announce(f.fallen, f.fallen.state)
	} else {
		f.change(func() { f.active = append(f.active, x) })
	}
	return func() error {
		f.change(func() {
			i := slices.IndexFunc(f.active, func(y Fault) bool { return y.String() == x.String() })
			f.active = slices.Delete(f.active, i, i+1)
		})
		return nil
	}, nil
}

func (f *Cluster) beginOnNodes(x Fault) (undo func() error, err error) {
	list := f.concerned(x)
	lives := make([]*process, len(list))
	for i, n := range list {
		lives[i] = n.current()
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
		return nil, each(func(_ int, n *Node) error { return n.disk(x.Name) })
	case "kill", "term":
		sig := map[string]syscall.Signal{"kill": syscall.SIGKILL, "term": syscall.SIGTERM}[x.Verb]
		each(func(i int, _ *Node) error { return lives[i].signal(sig) })
		return func() error {
			return each(func(i int, n *Node) error {
				<-lives[i].ended
				return n.startAfter(lives[i])
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
	each(func(i int, n *Node) error { n.still(lives[i], true); return nil })
	for _, p := range lives {
		for !p.over() && !p.standsStill() {
			time.Sleep(time.Millisecond)
		}
	}
	return func() error {
		return each(func(i int, n *Node) error { n.still(lives[i], false); return nil })
	}, nil
}

// change changes the faults at work, and sets anew all that follows from them: each way's fate, who reaches which server, and
// how the servers are.
func (f *Cluster) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	for _, a := range f.Nodes {
		for _, b := range f.Nodes {
			if a == b {
				continue
			}
			for _, p := range f.paths() {
				p.Set(a.Number-1, b.Number-1, fate(f.active, a.Number, b.Number))
			}
		}
		severed := func(name string) fake.Impairment {
			return fake.Impairment{Drop: slices.ContainsFunc(f.active, func(x Fault) bool {
				return x.Verb == "sever" && x.Name == name && (x.From == nil || slices.Contains(x.From, a.Number)) ||
					x.Verb == "promote" && f.fallen.name == name
			})}
		}
		for name, r := range a.servers {
			r.Set(severed(name), severed(name))
		}
		a.reach.Set(severed(Discovery), severed(Discovery))
		bound := noBound
		for _, x := range f.active {
			switch {
			case x.Verb != "files" || x.From != nil && !slices.Contains(x.From, a.Number):
			case x.Name == "full":
				bound = min(bound, a.largest())
			default:
				bound = 0
			}
		}
		a.boundFiles(bound)
	}
	for _, s := range f.servers() {
		lag, state := time.Duration(0), "ready"
		for _, x := range f.active {
			switch {
			case x.Name != s.name:
			case x.Verb == "lag":
				lag = max(lag, x.Delay)
			case x.Verb == "drain":
				state = "draining"
			}
		}
		s.of.setLag(s, lag)
		f.list(s, state)
	}
}

// fate is what all faults at work come to on one way.
func fate(active []Fault, from, to int) (out fake.Impairment) {
	for _, x := range active {
		if !x.spoils(from, to) {
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

// list has discovery tell every gateway of a server's state, if that has changed.
func (f *Cluster) list(s *server, state string) {
	if s.of.setState(s, state) {
		f.announce(s, state)
	}
}

// announce has discovery tell every gateway how a server is now.
func (f *Cluster) announce(s *server, state string) {
	for _, n := range f.Nodes {
		n.discovery.Push(s.target(n.servers[s.name].Addr()))
		f.History.Add(Event{Kind: EndpointUpdateSent, Node: n.Number, Server: s.name, What: state})
	}
}
