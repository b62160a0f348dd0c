package budget_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/budget"
)

// TestBound guards against repeats beyond the reserve and the ratio of first attempts, also after a long calm.
func TestBound(t *testing.T) {
	b := budget.New(0.2, 5)
	for range 1000 {
		b.RecordFirstAttempt()
	}
	repeats := 0
	for range 100 {
		b.RecordFirstAttempt()
		for b.TryRetry() {
			repeats++
		}
	}
	qt.Check(t, repeats >= 20 && repeats <= 25, qt.IsTrue, qt.Commentf("%d repeats", repeats))
}

// TestEmpty guards against a repeat without budget.
func TestEmpty(t *testing.T) {
	qt.Check(t, budget.New(0.2, 0.9).TryRetry(), qt.IsFalse)
}
