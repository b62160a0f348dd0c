package gateway_test

import (
	"bytes"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/overload"
)

// TestBurstOfLargeBodiesStaysInBudget guards against a router that is killed because the bodies of a burst of requests do not fit into its memory:
// only the size of each body was limited, not their sum.
func TestBurstOfLargeBodiesStaysInBudget(t *testing.T) {
	const callers, bodyBytes, budgetBytes = 256, 1 << 20, 16 << 20
	budget := overload.NewBodyBudget(budgetBytes)
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			reservation := budget.Open("customer")
			defer reservation.Release()
			received, err := gateway.ReadBody(t.Context(), reservation, bytes.NewReader(body), bodyBytes, true)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, bytes.Equal(received, body), qt.IsTrue)
			qt.Check(t, budget.Held() >= bodyBytes && budget.Held() <= budgetBytes, qt.IsTrue)
		})
	}
	running.Wait()
	qt.Check(t, budget.Held(), qt.Equals, int64(0))
}

// TestSlowBodiesHoldLittle guards against a thousand callers that announce large bodies and send a byte now and then: the memory would be theirs
// before they have sent anything.
func TestSlowBodiesHoldLittle(t *testing.T) {
	const callers, bodyBytes, budgetBytes = 1000, 4 << 20, 64 << 20
	budget := overload.NewBodyBudget(budgetBytes)
	held := heldBySlowCallers(t, budget, callers, bodyBytes)
	qt.Check(t, held <= callers*(4<<10), qt.IsTrue, qt.Commentf("%d", held))
}

// TestBodyOfUnknownLength guards against a body that is cut or refused because its length was not announced.
func TestBodyOfUnknownLength(t *testing.T) {
	const maxBytes = 1 << 20
	for _, size := range []int{0, 1, 4 << 10, 64 << 10, 64<<10 + 1, maxBytes} {
		reservation := overload.NewBodyBudget(16 << 20).Open("customer")
		received, err := gateway.ReadBody(t.Context(), reservation, bytes.NewReader(make([]byte, size)), maxBytes, false)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, received, qt.HasLen, size)
	}
}
