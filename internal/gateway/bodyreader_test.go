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

// TestBurstOfAnswersStaysInBudget guards against a router that is killed because many callers read their answers slowly: each answer was held up
// to 256 KiB, whatever their number.
func TestBurstOfAnswersStaysInBudget(t *testing.T) {
	const answers, answerBytes, budgetBytes = 256, 200 << 10, 16 << 20
	budget := overload.NewBodyBudget(budgetBytes)
	buffered, held := bufferAnswers(budget, answers, answerBytes)
	qt.Check(t, buffered > 0, qt.IsTrue)
	qt.Check(t, int64(held) <= budget.Held() && held <= budgetBytes, qt.IsTrue, qt.Commentf("%d buffered, %d held, %d counted", buffered, held, budget.Held()))
}

// TestAnswerOfUnknownLength guards against an answer that is cut, or taken for whole, at the limits of the memory and of the size.
func TestAnswerOfUnknownLength(t *testing.T) {
	const maxBytes = 256 << 10
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, maxBytes - 1, maxBytes, maxBytes + 1, 2 * maxBytes} {
		for _, budgetBytes := range []int64{0, 64 << 10, 16 << 20} {
			source := bytes.NewReader(make([]byte, size))
			body, whole := gateway.BufferAnswer(overload.NewBodyBudget(budgetBytes).Open("customer"), source)
			comment := qt.Commentf("%d bytes, budget %d", size, budgetBytes)
			qt.Check(t, len(body)+source.Len(), qt.Equals, size, comment)
			qt.Check(t, whole, qt.Equals, size <= maxBytes && (budgetBytes != 64<<10 || size < 8<<10), comment)
		}
	}
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
