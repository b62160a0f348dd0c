package rendezvous_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

// highestWeight returns the candidate with the highest weight for a key.
func highestWeight(candidates []uint64, key uint64) uint64 {
	best := candidates[0]
	for _, candidate := range candidates {
		if rendezvous.Weight(candidate, key) > rendezvous.Weight(best, key) {
			best = candidate
		}
	}
	return best
}

// TestWeightIsBalancedAndStable guards against weights that prefer some candidates, and against keys that move although their
// candidate remains.
func TestWeightIsBalancedAndStable(t *testing.T) {
	candidates := []uint64{11, 22, 33, 44}
	const keys = 8000
	counts := make(map[uint64]int)
	for key := range uint64(keys) {
		chosen := highestWeight(candidates, key)
		counts[chosen]++
		if remaining := highestWeight(candidates[:3], key); chosen != 44 {
			qt.Assert(t, remaining, qt.Equals, chosen)
		}
	}
	for candidate, count := range counts {
		qt.Check(t, count > keys/5 && count < keys*3/10, qt.IsTrue, qt.Commentf("candidate %d got %d keys", candidate, count))
	}
}
