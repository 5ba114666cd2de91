package testcluster

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
)

// On small random histories, haveOrder returns the same result as the search, both for linearizable and other histories.
func TestHaveOrderAgreesWithTheSearch(t *testing.T) {
	verdicts := map[bool]int{}
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var all []porcupine.Operation
		for i := range 2 + rng.IntN(6) {
			call := rng.Int64N(30)
			op := porcupine.Operation{
				ClientId: i, Input: seatOperation{"k", rng.IntN(3) == 0}, Call: call, Output: rng.IntN(2) == 0, Return: call + 1 + rng.Int64N(12),
			}
			if op.Input.(seatOperation).write {
				op.Output = true
				if rng.IntN(2) == 0 {
					op.Return = math.MaxInt64
				}
			}
			all = append(all, op)
		}
		want := porcupine.CheckOperations(seatModel, all)
		if got := haveOrder(all); got != want {
			t.Fatalf("seed %d: haveOrder returned %v, the search %v: %+v", seed, got, want, all)
		}
		verdicts[want]++
	}
	if verdicts[true] < 1000 || verdicts[false] < 1000 {
		t.Errorf("too few histories of one kind: %v", verdicts)
	}
}
