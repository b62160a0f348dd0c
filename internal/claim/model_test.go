package claim_test

import (
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// keyModel specifies a key whose request runs at most once. The state is the answer, empty until the request ran. A call without
// an answer, or with a refusal that leaves open whether the request ran, may or may not have run it.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, _ any) []any {
		call := input.(keyedCall)
		switch {
		case call.answered && call.outcome == claim.OutcomeHeld && state == "":
			return []any{call.answer}
		case call.answered && call.outcome == claim.OutcomeHeld:
			return nil
		case call.answered && call.outcome == claim.OutcomeReplay && state == call.answer:
			return []any{state}
		case call.answered && call.outcome == claim.OutcomeReplay:
			return nil
		case call.answered && call.ran == refusal.NotExecuted && state != "":
			return nil
		case call.answered && call.ran == refusal.NotExecuted || state != "":
			return []any{state}
		default:
			return []any{state, call.claimID}
		}
	},
}

// linearizable reports whether the calls with a key are a linearizable history of keyModel. Calls that leave open whether the
// request ran count as calls that never return.
func (s *simulation) linearizable(key string) bool {
	history := make([]porcupine.Operation, 0, len(s.calls))
	for _, call := range s.calls {
		if call.key != key {
			continue
		}
		operation := porcupine.Operation{Input: *call, Call: call.startedAt.UnixNano(), Return: math.MaxInt64}
		if call.answered && (call.outcome == claim.OutcomeHeld || call.outcome == claim.OutcomeReplay || call.ran == refusal.NotExecuted) {
			operation.Return = call.answeredAt.UnixNano()
		}
		history = append(history, operation)
	}
	return porcupine.CheckOperations(keyModel.ToModel(), history)
}
