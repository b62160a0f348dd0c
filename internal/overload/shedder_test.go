package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/overload"
)

// startTime is the time at which the tests start.
var startTime = time.Unix(1000, 0)

// TestRefusesCustomerThatIsMostlyRefused guards against repeated requests of one customer that leave the process no CPU time
// for those of others. While it is overloaded, it must refuse that customer's requests early, except for a fraction that may
// get a target.
func TestRefusesCustomerThatIsMostlyRefused(t *testing.T) {
	shedder := overload.New()
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 200 {
		shedder.RecordOutcome(startTime, "crowd", i%10 != 0)
		shedder.RecordOutcome(startTime, "desk", false)
	}
	countRefused := func(now time.Time, customer string) int {
		count := 0
		for range 1000 {
			if shedder.ShouldRefuse(now, customer, random.Float64()) {
				count++
			}
		}
		return count
	}
	shedder.RecordStartDelay(startTime, 20*time.Millisecond)
	qt.Check(t, countRefused(startTime, "crowd"), qt.Equals, 0)
	shedder.RecordStartDelay(startTime, 100*time.Millisecond)
	early := countRefused(startTime, "crowd")
	qt.Check(t, early > 650 && early < 850, qt.IsTrue, qt.Commentf("refused %d of 1000", early))
	qt.Check(t, countRefused(startTime, "desk"), qt.Equals, 0)
	qt.Check(t, countRefused(startTime, "new"), qt.Equals, 0)
	qt.Check(t, countRefused(startTime.Add(time.Second), "crowd"), qt.Equals, 0)
}

// TestOutcomesDecay guards against a customer whose requests are still refused early after its flood has ended.
func TestOutcomesDecay(t *testing.T) {
	shedder := overload.New()
	for range 100 {
		shedder.RecordOutcome(startTime, "crowd", true)
	}
	later := startTime.Add(5 * time.Second)
	shedder.RecordStartDelay(later, 100*time.Millisecond)
	qt.Check(t, shedder.ShouldRefuse(later, "crowd", 0.99), qt.IsFalse)
}

// TestRefusesAllCustomersAtLongDelay guards against a growing delay when no customer is refused for lack of capacity at
// targets, so that none counts as mostly refused.
func TestRefusesAllCustomersAtLongDelay(t *testing.T) {
	shedder := overload.New()
	shedder.RecordStartDelay(startTime, 240*time.Millisecond)
	qt.Check(t, shedder.ShouldRefuse(startTime, "desk", 0), qt.IsFalse)
	shedder.RecordStartDelay(startTime, 500*time.Millisecond)
	qt.Check(t, shedder.ShouldRefuse(startTime, "desk", 0.4), qt.IsTrue)
	qt.Check(t, shedder.ShouldRefuse(startTime, "desk", 0.6), qt.IsFalse)
	shedder.RecordStartDelay(startTime, time.Second)
	qt.Check(t, shedder.ShouldRefuse(startTime, "desk", 0.99), qt.IsTrue)
}
