package engine

import "time"

const (
	// slowest and fastest bound the believable reading speed of an engine in tokens a second.
	slowest = 10_000.0
	fastest = 1_000_000.0
	// priorSpeed is assumed until answers were observed, in tokens a second.
	priorSpeed = 100_000.0
	// priorBase is the assumed time to the first event of an empty prompt, in seconds.
	priorBase = 0.04
	// longestBase bounds the believable time to the first event of an empty prompt, in seconds.
	longestBase = 1.0
	// memory is the weight that an observation keeps when the next one arrives.
	memory = 0.98
	// spread is the least variance of prompts, in square tokens, from which a speed can be told.
	spread = 250_000.0
	// enough is the weight of the observations from which the prior is dropped.
	enough = 8.0
)

// LatencyModel is a line through the observed times to the first event over the tokens that had to be read before it. Older
// observations count less. The zero value holds the prior.
type LatencyModel struct {
	weight, x, y, xx, xy float64
}

// WithObservation returns the fit with one more observation: the tokens that were read before the first event and the time that
// passed to it.
func (f LatencyModel) WithObservation(tokens int, took time.Duration) LatencyModel {
	x, y := float64(tokens), took.Seconds()
	return LatencyModel{
		weight: f.weight*memory + 1,
		x:      f.x*memory + x,
		y:      f.y*memory + y,
		xx:     f.xx*memory + x*x,
		xy:     f.xy*memory + x*y,
	}
}

// TokensPerSecond returns the tokens of a prompt that an engine reads in a second.
func (f LatencyModel) TokensPerSecond() float64 {
	if f.weight < enough {
		return priorSpeed
	}
	meanX, meanY := f.x/f.weight, f.y/f.weight
	variance := f.xx/f.weight - meanX*meanX
	covariance := f.xy/f.weight - meanX*meanY
	if variance < spread || covariance <= 0 {
		return priorSpeed
	}
	return min(max(variance/covariance, slowest), fastest)
}

// PredictFirstByte returns the expected time to the first event if so many tokens have to be read before it.
func (f LatencyModel) PredictFirstByte(tokens float64) time.Duration {
	base := priorBase
	speed := f.TokensPerSecond()
	if f.weight >= enough {
		base = min(max(f.y/f.weight-f.x/f.weight/speed, 0), longestBase)
	}
	return time.Duration((base + tokens/speed) * float64(time.Second))
}
