package retrybudget_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/retrybudget"
)

// TestRetriesStayWithinReserveAndRatio guards against more retries than the reserve and the ratio allow, also after many first
// attempts without retries.
func TestRetriesStayWithinReserveAndRatio(t *testing.T) {
	b := retrybudget.New(0.2, 5)
	for range 1000 {
		b.RecordFirstAttempt()
	}
	retries := 0
	for range 100 {
		b.RecordFirstAttempt()
		for b.TryRetry() {
			retries++
		}
	}
	qt.Check(t, retries >= 20 && retries <= 25, qt.IsTrue, qt.Commentf("%d retries", retries))
}

// TestSmallerReserveAppliesAtOnce guards against retries that were saved up before the reserve became smaller.
func TestSmallerReserveAppliesAtOnce(t *testing.T) {
	b := retrybudget.New(0.2, 5)
	b.SetReserve(1)
	qt.Check(t, b.TryRetry(), qt.IsTrue)
	qt.Check(t, b.TryRetry(), qt.IsFalse)
}

// TestNoRetryBelowOne guards against a retry from a budget of less than one.
func TestNoRetryBelowOne(t *testing.T) {
	qt.Check(t, retrybudget.New(0.2, 0.9).TryRetry(), qt.IsFalse)
}
