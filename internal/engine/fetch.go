package engine

import "time"

const (
	// priorFetchSpeed is the speed at which a target fetches cached tokens from another one that is assumed without sufficient observations,
	// in tokens per second.
	priorFetchSpeed = 200_000.0
	// maxFetchSpeed bounds the plausible speed of fetches, in tokens per second.
	maxFetchSpeed = 10_000_000.0
	// priorFetchTokens is the weight of the prior, in fetched tokens.
	priorFetchTokens = 50_000.0
	// fetchDecay is the factor by which the weight of all observations falls when another one is added.
	fetchDecay = 0.98
)

// FetchModel estimates the time that a target takes to fetch cached tokens from another target. Recent observations weigh more. The zero
// value predicts from the prior.
type FetchModel struct {
	// tokens and seconds are weighted sums.
	tokens, seconds float64
}

// WithObservation returns the model with one more fetch: the number of tokens and the time that it took, which may be a noisy
// estimate below zero.
func (m FetchModel) WithObservation(tokens int, elapsed time.Duration) FetchModel {
	return FetchModel{
		tokens:  m.tokens*fetchDecay + float64(tokens),
		seconds: m.seconds*fetchDecay + elapsed.Seconds(),
	}
}

// Predict returns the expected time to fetch a number of tokens.
func (m FetchModel) Predict(tokens int) time.Duration {
	perToken := (m.seconds + priorFetchTokens/priorFetchSpeed) / (m.tokens + priorFetchTokens)
	return time.Duration(float64(tokens) * max(perToken, 1/maxFetchSpeed) * float64(time.Second))
}
