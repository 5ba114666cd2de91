package modelcheck

import "math/rand/v2"

// Walk makes one run of moves drawn at random from a seed, until no move is left, an invariant breaks, or a number of moves is
// made: what lies deeper than a search of all states comes. It returns how many it made, and the run if it broke something.
func RandomWalk[S any](m Model[S], seed uint64, most int) (made int, broken *Trace) {
	rng := rand.New(rand.NewPCG(seed, 6))
	s := m.InitialState()
	t := &Trace{Steps: []Step{{"start", m.Describe(s)}}}
	for ; made < most; made++ {
		if t.Err = m.CheckInvariant(s); t.Err != nil {
			return made, t
		}
		moves := m.Transitions(s)
		if len(moves) == 0 {
			break
		}
		mv := moves[rng.IntN(len(moves))]
		s = mv.Next
		t.Steps = append(t.Steps, Step{mv.Name, m.Describe(s)})
	}
	if t.Err = m.CheckInvariant(s); t.Err != nil {
		return made, t
	}
	return made, nil
}
