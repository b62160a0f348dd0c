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
	observationDecay = 0.995
	// minPromptVariance is the minimum variance of the prompt lengths, in tokens squared, at which the speed is estimated.
	minPromptVariance = 250_000.0
	// minWeight is the total weight of the observations at which they replace the priors.
	minWeight = 8.0
)

// Observation is the time to the first byte of one answer of a target.
type Observation struct {
	// PromptTokens is the number of tokens of the request's own prompt that the target read. It is known exactly.
	PromptTokens int
	// TokensBefore is the estimated number of tokens that the target read before the first byte, those of the prompt included.
	TokensBefore int
	// Elapsed is the time from the sending of the request to the first byte.
	Elapsed time.Duration
}

// LatencyModel is a weighted linear regression of the time to the first byte on the number of tokens that were read before it. Recent
// observations weigh more. The number of tokens that wait at a target is a rough estimate, whose errors would make the targets look faster
// than they are, so the speed is taken from the length of the prompts, which does not depend on those errors (an instrumental variable).
// The zero value predicts from the priors.
type LatencyModel struct {
	// The sums are weighted. X is TokensBefore, Y the time in seconds, and Z PromptTokens.
	weight, sumX, sumY, sumZ, sumZZ, sumZX, sumZY float64
}

// WithObservation returns the model with one more observation.
func (m LatencyModel) WithObservation(o Observation) LatencyModel {
	x, y, z := float64(o.TokensBefore), o.Elapsed.Seconds(), float64(o.PromptTokens)
	return LatencyModel{
		weight: m.weight*observationDecay + 1,
		sumX:   m.sumX*observationDecay + x,
		sumY:   m.sumY*observationDecay + y,
		sumZ:   m.sumZ*observationDecay + z,
		sumZZ:  m.sumZZ*observationDecay + z*z,
		sumZX:  m.sumZX*observationDecay + z*x,
		sumZY:  m.sumZY*observationDecay + z*y,
	}
}

// TokensPerSecond returns the estimated read speed, or the prior if the observations do not determine one.
func (m LatencyModel) TokensPerSecond() float64 {
	if m.weight < minWeight {
		return priorSpeed
	}
	meanZ := m.sumZ / m.weight
	variance := m.sumZZ/m.weight - meanZ*meanZ
	tokens := m.sumZX/m.weight - meanZ*m.sumX/m.weight
	seconds := m.sumZY/m.weight - meanZ*m.sumY/m.weight
	if variance < minPromptVariance || tokens <= 0 || seconds*maxSpeed <= tokens {
		return priorSpeed // The time does not depend on the length, or not plausibly.
	}
	return max(tokens/seconds, minSpeed)
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
