package membership

import "slices"

// This file keeps what members report of the paths between them, their own reports among it.

// maxPaths bounds the path reports that are kept.
const maxPaths = 8192

// reportPath has a new state of the path to another member spread.
func (m *Machine) reportPath(peer *member, state PathState) {
	state.Reporter, state.Peer, state.Generation, state.Number = m.self.Name, peer.Name, m.self.Generation, peer.path.Number+1
	peer.path = state
	m.mergePath(state)
	m.emit(PathChanged{state})
}

// mergePath takes over a report on a path if it is later than the known one of the same reporter. A full table gives up
// healthy paths and those of ended reporters; where there are none the new report is left out.
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

// laterThan tells whether a report is later than another one of the same path by the same reporter.
func (p PathState) laterThan(other PathState) bool {
	return p.Generation > other.Generation || p.Generation == other.Generation && p.Number > other.Number
}

// retainPaths drops the reports that are not to be kept.
func (m *Machine) retainPaths(keep func(PathState) bool) {
	m.pathStates = slices.DeleteFunc(m.pathStates, func(p PathState) bool { return !keep(p) })
	clear(m.pathIndex)
	for i, p := range m.pathStates {
		m.pathIndex[pathKey{p.Reporter, p.Peer}] = i
	}
}
