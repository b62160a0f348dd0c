package engine

import "time"

const (
	// minSpeed and maxSpeed bound the plausible read speed of a target, in prompt tokens per second.
	minSpeed = 10_000.0
	maxSpeed = 1_000_000.0
	// priorSpeed is the read speed that is assumed without sufficient observations, in tokens per second.
	priorSpeed = 100_000.0
	// priorBaseSeconds is the time to the first byte of an answer to an empty prompt that is assumed without sufficient
	// observations.
	priorBaseSeconds = 0.04
	// maxBaseSeconds bounds the plausible time to the first byte of an answer to an empty prompt.
	maxBaseSeconds = 1.0
	// observationDecay is the factor by which the weight of all observations falls when another one is added.
	observationDecay = 0.98
	// minPromptVariance is the minimum variance of the prompt lengths, in tokens squared, at which the speed is estimated.
	minPromptVariance = 250_000.0
	// minWeight is the total weight of the observations at which they replace the priors.
	minWeight = 8.0
)

// LatencyModel is a weighted linear regression of the time to the first byte on the number of prompt tokens that were read
// before it. Recent observations weigh more. The zero value predicts from the priors.
type LatencyModel struct {
	// The sums are weighted. X is the number of tokens, Y the time in seconds.
	weight, sumX, sumY, sumXX, sumXY float64
}

// WithObservation returns the model with one more observation: the number of tokens that were read before the first byte and
// the time that this took.
func (m LatencyModel) WithObservation(tokens int, elapsed time.Duration) LatencyModel {
	x, y := float64(tokens), elapsed.Seconds()
	return LatencyModel{
		weight: m.weight*observationDecay + 1,
		sumX:   m.sumX*observationDecay + x,
		sumY:   m.sumY*observationDecay + y,
		sumXX:  m.sumXX*observationDecay + x*x,
		sumXY:  m.sumXY*observationDecay + x*y,
	}
}

// TokensPerSecond returns the estimated read speed, or the prior if the observations do not determine one.
func (m LatencyModel) TokensPerSecond() float64 {
	if m.weight < minWeight {
		return priorSpeed
	}
	meanX, meanY := m.sumX/m.weight, m.sumY/m.weight
	variance := m.sumXX/m.weight - meanX*meanX
	covariance := m.sumXY/m.weight - meanX*meanY
	if variance < minPromptVariance || covariance <= 0 {
		return priorSpeed
	}
	return min(max(variance/covariance, minSpeed), maxSpeed)
}

// PredictFirstByte returns the expected time to the first byte if the given number of tokens has to be read before it.
func (m LatencyModel) PredictFirstByte(tokens float64) time.Duration {
	base := priorBaseSeconds
	speed := m.TokensPerSecond()
	if m.weight >= minWeight {
		base = min(max(m.sumY/m.weight-m.sumX/m.weight/speed, 0), maxBaseSeconds)
	}
	return time.Duration((base + tokens/speed) * float64(time.Second))
}
