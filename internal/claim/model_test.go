package claim_test

import (
	"math"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// model is one key that runs at most once: its state is the answer, empty until it ran. A caller that got no answer, or
// a refusal that leaves the outcome open, may or may not have made it run.
var model = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		var keys []string
		for _, operation := range history {
			key := operation.Input.(call).key
			if byKey[key] == nil {
				keys = append(keys, key)
			}
			byKey[key] = append(byKey[key], operation)
		}
		parts := make([][]porcupine.Operation, 0, len(keys))
		for _, key := range keys {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, _ any) []any {
		made := input.(call)
		switch {
		case made.answered && made.outcome == claim.Held && state == "":
			return []any{made.answer}
		case made.answered && made.outcome == claim.Held:
			return nil
		case made.answered && made.outcome == claim.Replay && state == made.answer:
			return []any{state}
		case made.answered && made.outcome == claim.Replay:
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

// history returns the calls as operations; those with an open outcome never return.
func (w *world) history() []porcupine.Operation {
	history := make([]porcupine.Operation, 0, len(w.calls))
	for _, made := range w.calls {
		operation := porcupine.Operation{Input: *made, Call: made.from.UnixNano(), Return: math.MaxInt64}
		if made.answered && (slices.Contains([]claim.Outcome{claim.Held, claim.Replay}, made.outcome) || made.ran == refusal.RanNo) {
			operation.Return = made.until.UnixNano()
		}
		history = append(history, operation)
	}
	return history
}
