package modelcheck

import (
	"fmt"
	"slices"
	"strconv"
)

// Transitions lists all possible steps: a message arrives, is lost, duplicated or delayed; a node's timer fires; a node
// crashes, pauses, is partitioned or undergoes an external change; or time passes until the next event, if no timer or
// message is due.
func (w *World) Transitions(s *State) []Transition[*State] {
	var transitions []Transition[*State]
	add := func(name string, fault bool, apply func(*State)) {
		next := s.clone()
		apply(next)
		if fault {
			next.LastFaultAt = next.Now
		}
		if w.History != nil {
			next.History = w.History(s, next)
		}
		transitions = append(transitions, Transition[*State]{name, next})
	}
	w.addMessageTransitions(s, add)
	for i := range s.Nodes {
		w.addNodeTransitions(s, i, add)
	}
	if at, ok := w.nextEvent(s); ok && (w.Horizon == 0 || at <= w.Horizon) {
		add(strconv.FormatInt(at-s.Now, 10)+" pass", false, func(next *State) { w.advance(next, at) })
	}
	return transitions
}

// addTransition adds a transition from the current state. The next state is a copy of the current one, changed by apply. If fault
// is set, LastFaultAt of the next state is set to the time of the next state.
type addTransition func(name string, fault bool, apply func(next *State))

func (w *World) addMessageTransitions(s *State, add addTransition) {
	for i, m := range s.network {
		if slices.Contains(s.network[:i], m) {
			continue // an equal message earlier in the list has the same transitions
		}
		label := fmt.Sprintf("%d>%d %s", m.from, m.to, m.text)
		if s.Running(m.to) {
			add("arrives "+label, false, func(next *State) {
				next.removeDelivered(i, w.InOrder)
				node, sent := next.Nodes[m.to].Deliver(next.Now, m.from, m.text)
				w.update(next, m.to, node, sent)
			})
		}
		if s.FaultsLeft.Lose > 0 {
			add("lost "+label, true, func(next *State) {
				next.FaultsLeft.Lose--
				next.network = slices.Delete(next.network, i, i+1)
			})
		}
		if s.FaultsLeft.Duplicate > 0 {
			add("duplicated "+label, true, func(next *State) {
				next.FaultsLeft.Duplicate--
				next.network = slices.Insert(next.network, i, m)
			})
		}
		if s.FaultsLeft.Delay > 0 && m.deadline-m.sent == w.MaxDelay && !m.unread {
			add("delayed "+label, true, func(next *State) {
				next.FaultsLeft.Delay--
				next.network[i].deadline += w.ExtraDelay
			})
		}
	}
}

func (w *World) addNodeTransitions(s *State, i int, add addTransition) {
	if !s.Running(i) {
		return
	}
	if at, ok := s.Nodes[i].NextTimer(); ok && at <= s.Now {
		add("timer of "+strconv.Itoa(i), false, func(next *State) {
			node, sent := next.Nodes[i].Tick(next.Now)
			w.update(next, i, node, sent)
		})
	}
	w.addNodeFaults(s, i, add)
	if s.FaultsLeft.EnvironmentChange > 0 && w.EnvironmentChanges != nil {
		for _, change := range w.EnvironmentChanges(i, s.Nodes[i], s.Now) {
			add(change.Name+" at "+strconv.Itoa(i), true, func(next *State) {
				next.FaultsLeft.EnvironmentChange--
				w.update(next, i, change.Next, change.Sent)
			})
		}
	}
}

// addNodeFaults adds the transitions in which a running node crashes, pauses or is partitioned.
func (w *World) addNodeFaults(s *State, i int, add addTransition) {
	if s.FaultsLeft.Crash > 0 {
		add("crash of "+strconv.Itoa(i), true, func(next *State) {
			next.FaultsLeft.Crash--
			next.DownUntil[i] = -1
			if w.RestartDelay > 0 {
				next.DownUntil[i] = next.Now + w.RestartDelay
			}
			next.network = slices.DeleteFunc(next.network, func(m inFlightMessage) bool { return m.to == i })
		})
	}
	if s.FaultsLeft.Pause > 0 {
		for _, duration := range w.PauseDurations {
			add(fmt.Sprintf("pause of %d for %d", i, duration), true, func(next *State) {
				next.FaultsLeft.Pause--
				next.PausedUntil[i] = next.Now + duration
			})
		}
	}
	if s.FaultsLeft.Partition > 0 && s.PartitionedUntil[i] == 0 {
		add("partition of "+strconv.Itoa(i), true, func(next *State) {
			next.FaultsLeft.Partition--
			next.PartitionedUntil[i] = next.Now + w.PartitionDuration
		})
	}
}

// update stores a node's new state and sends its messages, except those that cannot be delivered.
func (w *World) update(s *State, i int, node Node, sent []Message) {
	s.Nodes[i] = node
	for _, m := range sent {
		if s.DownUntil[m.To] != 0 || s.PartitionedUntil[i] != 0 || s.PartitionedUntil[m.To] != 0 {
			continue // the receiver is down, or one of the two nodes is partitioned
		}
		s.network = append(s.network, inFlightMessage{from: i, to: m.To, text: m.Text, sent: s.Now, deadline: s.Now + w.MaxDelay})
	}
}

// nextEvent returns the time to which the clock may advance: the next timer, message deadline, or end of a pause, partition or
// downtime. The result is false while the clock must not advance because a timer, or a message to a running node, is due. It is
// also false if no event is to come.
func (w *World) nextEvent(state *State) (int64, bool) {
	next, found := int64(0), false
	include := func(at int64) {
		if !found || at < next {
			next, found = at, true
		}
	}
	for i, n := range state.Nodes {
		if state.PartitionedUntil[i] > 0 {
			include(state.PartitionedUntil[i])
		}
		switch {
		case state.DownUntil[i] > 0:
			include(state.DownUntil[i])
		case state.DownUntil[i] < 0:
		case state.PausedUntil[i] > 0:
			include(state.PausedUntil[i])
		default:
			if at, ok := n.NextTimer(); ok {
				include(at)
			}
		}
	}
	for _, m := range state.network {
		if state.Running(m.to) {
			include(m.deadline)
		}
	}
	return next, found && next > state.Now
}

// advance moves the clock of a state to the given time, and ends the partitions, downtimes and pauses that are over by that time.
func (w *World) advance(s *State, at int64) {
	s.Now = at
	for i := range s.Nodes {
		if s.PartitionedUntil[i] > 0 && s.PartitionedUntil[i] <= at {
			s.PartitionedUntil[i], s.LastFaultAt = 0, at
		}
		switch {
		case s.DownUntil[i] > 0 && s.DownUntil[i] <= at:
			s.DownUntil[i], s.LastFaultAt = 0, at
			node, sent := w.Nodes[i].Boot(at)
			w.update(s, i, node, sent)
		case s.PausedUntil[i] > 0 && s.PausedUntil[i] <= at:
			s.PausedUntil[i], s.LastFaultAt = 0, at
			s.markUnread(i, at)
			node, sent := s.Nodes[i].Tick(at)
			w.update(s, i, node, sent)
		}
	}
}

// markUnread marks the messages that reached a node's socket during the node's pause. The node must read these messages now that
// the pause is over.
func (s *State) markUnread(i int, now int64) {
	for k := range s.network {
		if m := &s.network[k]; m.to == i && m.deadline < now {
			m.deadline, m.unread = now, true
		}
	}
}
