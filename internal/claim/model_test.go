package claim_test

import (
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// model is one key that runs at most once: its state is the answer, empty until it ran. A caller that got no answer, or
// a refusal that leaves the outcome open, may or may not have made it run.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, _ any) []any {
		made := input.(call)
		switch {
		case made.answered && made.outcome == claim.OutcomeHeld && state == "":
			return []any{made.answer}
		case made.answered && made.outcome == claim.OutcomeHeld:
			return nil
		case made.answered && made.outcome == claim.OutcomeReplay && state == made.answer:
			return []any{state}
		case made.answered && made.outcome == claim.OutcomeReplay:
			return nil
		case made.answered && made.ran == refusal.RanNo && state != "":
			return nil
		case made.answered && made.ran == refusal.RanNo || state != "":
			return []any{state}
		default:
			return []any{state, made.claim}
		}
	},
}

// linearizable tells whether the calls of a key are a history of the model; those with an open outcome never return.
func (w *world) linearizable(key string) bool {
	history := make([]porcupine.Operation, 0, len(w.calls))
	for _, made := range w.calls {
		if made.key != key {
			continue
		}
		operation := porcupine.Operation{Input: *made, Call: made.from.UnixNano(), Return: math.MaxInt64}
		if made.answered && (made.outcome == claim.OutcomeHeld || made.outcome == claim.OutcomeReplay || made.ran == refusal.RanNo) {
			operation.Return = made.until.UnixNano()
		}
		history = append(history, operation)
	}
	return porcupine.CheckOperations(model.ToModel(), history)
}
