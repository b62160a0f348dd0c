package engine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/engine"
)

// addObservations adds the answers of a target with a base latency and a read speed in tokens per second to a model. Each
// takes up to 9 ms longer at random.
func addObservations(model engine.LatencyModel, answers int, base time.Duration, speed float64) engine.LatencyModel {
	random := rand.New(rand.NewPCG(1, 2))
	for range answers {
		tokens := random.IntN(8000)
		noise := time.Duration(random.IntN(10)) * time.Millisecond
		model = model.WithObservation(engine.Observation{
			PromptTokens: tokens, TokensBefore: tokens,
			Elapsed: base + noise + time.Duration(float64(tokens)/speed*float64(time.Second)),
		})
	}
	return model
}

// TestModelMatchesObservedSpeed guards against predictions that stay at the priors although the targets are faster or slower.
func TestModelMatchesObservedSpeed(t *testing.T) {
	for _, speed := range []float64{30_000, 112_000, 400_000} {
		model := addObservations(engine.LatencyModel{}, 200, 26*time.Millisecond, speed)
		qt.Check(t, model.TokensPerSecond() > speed*0.9 && model.TokensPerSecond() < speed*1.1, qt.IsTrue,
			qt.Commentf("estimated %.0f tokens/s, actual %.0f", model.TokensPerSecond(), speed))
		// The base latency is 26 ms. The rest of the 30 ms is the approximate mean of the noise.
		want := 30*time.Millisecond + time.Duration(4000/speed*float64(time.Second))
		qt.Check(t, (model.PredictFirstByte(4000)-want).Abs() < want/8, qt.IsTrue,
			qt.Commentf("predicted %v, want %v", model.PredictFirstByte(4000), want))
	}
}

// TestModelFollowsSpeedChange guards against predictions that keep the speed of targets that have been replaced.
func TestModelFollowsSpeedChange(t *testing.T) {
	model := addObservations(addObservations(engine.LatencyModel{}, 500, 26*time.Millisecond, 100_000),
		1000, 26*time.Millisecond, 50_000)
	qt.Check(t, model.TokensPerSecond() > 45_000 && model.TokensPerSecond() < 55_000, qt.IsTrue,
		qt.Commentf("%.0f", model.TokensPerSecond()))
}

// TestModelKeepsPriorWithoutEvidence guards against a speed that is estimated from prompts of equal length or from too few
// answers.
func TestModelKeepsPriorWithoutEvidence(t *testing.T) {
	prior := engine.LatencyModel{}.TokensPerSecond()
	model := engine.LatencyModel{}
	for range 50 {
		model = model.WithObservation(engine.Observation{PromptTokens: 500, TokensBefore: 500, Elapsed: 300 * time.Millisecond})
	}
	qt.Check(t, model.TokensPerSecond(), qt.Equals, prior)
	qt.Check(t, model.PredictFirstByte(500) > 250*time.Millisecond, qt.IsTrue)
	single := engine.LatencyModel{}.WithObservation(engine.Observation{PromptTokens: 8000, TokensBefore: 8000, Elapsed: time.Nanosecond})
	qt.Check(t, single.TokensPerSecond(), qt.Equals, prior)
}
