package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/overload"
)

// start is the first instant of the tests.
var start = time.Unix(1000, 0)

// TestCrowd guards against a crowd of repeated requests that keeps the process from reading those of other customers: while
// it is behind, requests of the crowd's customer are refused early, but for those that may get a target.
func TestCrowd(t *testing.T) {
	g := overload.New()
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 200 {
		g.RecordOutcome(start, "crowd", i%10 != 0)
		g.RecordOutcome(start, "desk", false)
	}
	refused := func(now time.Time, customer string) int {
		count := 0
		for range 1000 {
			if g.ShouldRefuse(now, customer, random.Float64()) {
				count++
			}
		}
		return count
	}
	g.RecordStartDelay(start, 20*time.Millisecond)
	qt.Check(t, refused(start, "crowd"), qt.Equals, 0)
	g.RecordStartDelay(start, 100*time.Millisecond)
	early := refused(start, "crowd")
	qt.Check(t, early > 650 && early < 850, qt.IsTrue, qt.Commentf("%d of 1000", early))
	qt.Check(t, refused(start, "desk"), qt.Equals, 0)
	qt.Check(t, refused(start, "new"), qt.Equals, 0)
	qt.Check(t, refused(start.Add(time.Second), "crowd"), qt.Equals, 0)
}

// TestForgotten guards against a customer that stays refused after its crowd has gone.
func TestForgotten(t *testing.T) {
	g := overload.New()
	for range 100 {
		g.RecordOutcome(start, "crowd", true)
	}
	later := start.Add(5 * time.Second)
	g.RecordStartDelay(later, 100*time.Millisecond)
	qt.Check(t, g.ShouldRefuse(later, "crowd", 0.99), qt.IsFalse)
}

// TestHopeless guards against a process that falls further and further behind because no customer is refused for lack of
// capacity at targets.
func TestHopeless(t *testing.T) {
	g := overload.New()
	g.RecordStartDelay(start, 240*time.Millisecond)
	qt.Check(t, g.ShouldRefuse(start, "desk", 0), qt.IsFalse)
	g.RecordStartDelay(start, 500*time.Millisecond)
	qt.Check(t, g.ShouldRefuse(start, "desk", 0.4), qt.IsTrue)
	qt.Check(t, g.ShouldRefuse(start, "desk", 0.6), qt.IsFalse)
	g.RecordStartDelay(start, time.Second)
	qt.Check(t, g.ShouldRefuse(start, "desk", 0.99), qt.IsTrue)
}
