package membership

import "slices"

// This file keeps the members' reports on the paths between them, including this member's own reports.

// maxPaths is the largest number of path reports that are kept.
const maxPaths = 8192

// reportPath records a new state of the path to another member and queues the report as gossip.
func (m *Machine) reportPath(peer *member, state PathState) {
	state.Reporter, state.Peer, state.Generation, state.Number = m.self.Name, peer.Name, m.self.Generation, peer.path.Number+1
	peer.path = state
	m.mergePath(state)
	m.emit(PathChanged{state})
}

// mergePath stores a path report if it is later than the known report of the same reporter on the same path. If the table is
// full, reports of healthy paths and reports by generations that have ended are removed; if the table is still full, the new
// report is ignored.
func (m *Machine) mergePath(state PathState) {
	key := pathKey{state.Reporter, state.Peer}
	i, known := m.pathIndex[key]
	switch {
	case known && !state.laterThan(m.pathStates[i]):
		return
	case known:
		m.pathStates[i] = state
	case m.generationOver(state.Reporter, state.Generation):
		return
	default:
		if len(m.pathStates) >= maxPaths {
			m.retainPaths(func(p PathState) bool { return !p.Healthy() && !m.generationOver(p.Reporter, p.Generation) })
		}
		if len(m.pathStates) >= maxPaths {
			return
		}
		m.pathIndex[key] = len(m.pathStates)
		m.pathStates = append(m.pathStates, state)
	}
	m.pathGossip.enqueue(broadcast{reporter: state.Reporter, peer: state.Peer})
}

// laterThan reports whether p is later than another report by the same reporter on the same path.
func (p PathState) laterThan(other PathState) bool {
	return p.Generation > other.Generation || p.Generation == other.Generation && p.Number > other.Number
}

// retainPaths removes the reports for which keep returns false.
func (m *Machine) retainPaths(keep func(PathState) bool) {
	m.pathStates = slices.DeleteFunc(m.pathStates, func(p PathState) bool { return !keep(p) })
	clear(m.pathIndex)
	for i, p := range m.pathStates {
		m.pathIndex[pathKey{p.Reporter, p.Peer}] = i
	}
}
