package modelcheck

import "math/rand/v2"

// RandomWalk follows one trace of at most maxSteps transitions, each chosen at random by a generator with the given seed. The
// walk ends early in a state without transitions or in a state that violates the invariant. It returns the number of steps
// taken, and the trace if the invariant was violated. Equal seeds give equal traces.
func RandomWalk[S any](model Model[S], seed uint64, maxSteps int) (steps int, counterexample *Trace) {
	rng := rand.New(rand.NewPCG(seed, 6))
	state := model.InitialState()
	trace := &Trace{Steps: []Step{{"start", model.Describe(state)}}}
	for ; steps < maxSteps; steps++ {
		if trace.Err = model.CheckInvariant(state); trace.Err != nil {
			return steps, trace
		}
		transitions := model.Transitions(state)
		if len(transitions) == 0 {
			break
		}
		transition := transitions[rng.IntN(len(transitions))]
		state = transition.Next
		trace.Steps = append(trace.Steps, Step{transition.Name, model.Describe(state)})
	}
	if trace.Err = model.CheckInvariant(state); trace.Err != nil {
		return steps, trace
	}
	return steps, nil
}
