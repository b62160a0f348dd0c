package overload_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/overload"
)

const budgetBytes = 64 << 20

// growLarge asks for memory without waiting for it.
func growLarge(reservation *overload.BodyReservation, bytes int64) bool {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	return reservation.GrowLarge(ended, bytes)
}

// TestLargeBodiesLeaveRoomForSmallOnes guards against small requests that are refused because large ones hold all the memory, and against one
// customer that holds all the memory for large ones.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	budget := overload.NewBodyBudget(budgetBytes)
	for growLarge(budget.Open("first"), 4<<20) {
	}
	firstHeld := budget.Held()
	qt.Check(t, firstHeld > budgetBytes/3, qt.IsTrue, qt.Commentf("%d", firstHeld))
	qt.Check(t, growLarge(budget.Open("second"), 4<<20), qt.IsTrue)
	for growLarge(budget.Open("second"), 4<<20) {
	}
	for range 200 {
		qt.Assert(t, budget.Open("third").GrowSmall(overload.SmallBodyBytes), qt.IsTrue)
	}
	for budget.Open("third").GrowSmall(overload.SmallBodyBytes) {
	}
	qt.Check(t, budget.Held() <= budgetBytes, qt.IsTrue)
	qt.Check(t, growLarge(budget.Open("fourth"), budgetBytes), qt.IsFalse)
}

// TestAnswersLeaveRoomForRequests guards against requests that get no memory because answers, which callers read slowly, hold it.
func TestAnswersLeaveRoomForRequests(t *testing.T) {
	budget := overload.NewBodyBudget(budgetBytes)
	answer := budget.Open("slow")
	for answer.GrowAnswer(4 << 10) {
	}
	qt.Check(t, budget.Held() > 0 && budget.Held() <= budgetBytes/8, qt.IsTrue, qt.Commentf("%d", budget.Held()))
	large := budget.Open("first")
	for growLarge(large, 4<<20) {
	}
	qt.Check(t, budget.Open("second").GrowSmall(overload.SmallBodyBytes), qt.IsTrue)
	large.Release()
	answer.Release()
	qt.Check(t, budget.Held(), qt.Equals, int64(overload.SmallBodyBytes))
	qt.Check(t, answer.GrowAnswer(4<<10), qt.IsTrue)
}

// TestWaitingBodiesGetMemoryInTurn guards against a large body that waits although there is memory, against a customer with few bodies that
// waits behind one with many, and against memory that is lost when a wait ends.
func TestWaitingBodiesGetMemoryInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bodyBytes, bodies = 4 << 20, 100
		budget := overload.NewBodyBudget(budgetBytes)
		served := make(chan string, 2*bodies)
		serve := func(customer string, deadline time.Duration) {
			ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(deadline))
			defer cancel()
			reservation := budget.Open(customer)
			defer reservation.Release()
			if reservation.GrowLarge(ctx, bodyBytes) {
				time.Sleep(100 * time.Millisecond)
				served <- customer
			}
			qt.Check(t, budget.Held() <= budgetBytes, qt.IsTrue)
		}
		for range bodies {
			go serve("many", time.Minute)
			go serve("impatient", time.Millisecond)
		}
		synctest.Wait()
		startedAt := time.Now()
		serve("few", time.Minute)
		qt.Check(t, time.Since(startedAt) <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(startedAt)))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		close(served)
		counts := make(map[string]int)
		for customer := range served {
			counts[customer]++
		}
		qt.Check(t, counts["many"], qt.Equals, bodies)
		qt.Check(t, counts["few"], qt.Equals, 1)
		qt.Check(t, budget.Held(), qt.Equals, int64(0))
	})
}

// TestBudgetWithoutLimit guards against bodies that wait although no limit is set.
func TestBudgetWithoutLimit(t *testing.T) {
	budget := overload.NewBodyBudget(0)
	qt.Check(t, growLarge(budget.Open("a"), 1<<40), qt.IsTrue)
	qt.Check(t, budget.Open("a").GrowSmall(1<<40), qt.IsTrue)
}
