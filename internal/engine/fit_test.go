package engine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/engine"
)

// observe returns a fit of answers of an engine with a base time and a reading speed in tokens a second.
func observe(fit engine.LatencyModel, answers int, base time.Duration, speed float64) engine.LatencyModel {
	random := rand.New(rand.NewPCG(1, 2))
	for range answers {
		tokens := random.IntN(8000)
		noise := time.Duration(random.IntN(10)) * time.Millisecond
		fit = fit.WithObservation(tokens, base+noise+time.Duration(float64(tokens)/speed*float64(time.Second)))
	}
	return fit
}

// TestFit guards against a prediction that stays at its prior although the engines are faster or slower.
func TestFit(t *testing.T) {
	for _, speed := range []float64{30_000, 112_000, 400_000} {
		fit := observe(engine.LatencyModel{}, 200, 26*time.Millisecond, speed)
		qt.Check(t, fit.TokensPerSecond() > speed*0.9 && fit.TokensPerSecond() < speed*1.1, qt.IsTrue, qt.Commentf("%.0f of %.0f", fit.TokensPerSecond(), speed))
		want := 30*time.Millisecond + time.Duration(4000/speed*float64(time.Second))
		qt.Check(t, (fit.PredictFirstByte(4000)-want).Abs() < want/8, qt.IsTrue, qt.Commentf("%v for %v", fit.PredictFirstByte(4000), want))
	}
}

// TestFitFollows guards against a prediction that holds on to the speed of engines that were replaced.
func TestFitFollows(t *testing.T) {
	fit := observe(observe(engine.LatencyModel{}, 500, 26*time.Millisecond, 100_000), 300, 26*time.Millisecond, 50_000)
	qt.Check(t, fit.TokensPerSecond() > 45_000 && fit.TokensPerSecond() < 55_000, qt.IsTrue, qt.Commentf("%.0f", fit.TokensPerSecond()))
}

// TestFitPrior guards against a speed that is told from equal prompts or from a few answers.
func TestFitPrior(t *testing.T) {
	prior := engine.LatencyModel{}.TokensPerSecond()
	fit := engine.LatencyModel{}
	for range 50 {
		fit = fit.WithObservation(500, 300*time.Millisecond)
	}
	qt.Check(t, fit.TokensPerSecond(), qt.Equals, prior)
	qt.Check(t, fit.PredictFirstByte(500) > 250*time.Millisecond, qt.IsTrue)
	qt.Check(t, engine.LatencyModel{}.WithObservation(8000, time.Nanosecond).TokensPerSecond(), qt.Equals, prior)
}
