package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

// class describes a kind of request and the distribution of its size.
type class struct {
	name string
	// share is the fraction of the model calls that are of this class; the shares add up to 1.
	share float64
	// meanTokens, tokenSigma and maxTokens describe the output tokens, which are log-normally distributed.
	meanTokens float64
	tokenSigma float64
	maxTokens  int
	// meanPromptTokens is the mean number of prompt tokens.
	meanPromptTokens float64
	// patience is how long a request may wait before it should start.
	patience time.Duration
	// isLong marks the class as long in the configuration.
	isLong bool
}

// Names of the classes of service calls. Their latencies are counted apart from those of model calls.
const (
	lookupClass  = "lookup"
	bookingClass = "booking"
)

// modelClasses are the classes of model calls. The token counts of the long class have a heavy tail.
var modelClasses = []class{
	{
		name: "long", share: 0.2, meanTokens: 400, tokenSigma: 1, maxTokens: 4000, meanPromptTokens: 800,
		patience: 30 * time.Second, isLong: true,
	},
	{
		name: "quick", share: 0.4, meanTokens: 40, tokenSigma: 0.5, maxTokens: 200, meanPromptTokens: 200,
		patience: 1300 * time.Millisecond,
	},
	{
		name: "tagging", share: 0.4, meanTokens: 4, tokenSigma: 0.3, maxTokens: 12, meanPromptTokens: 1000,
		patience: 500 * time.Millisecond,
	},
}

// pickClass draws a class of model calls according to the shares.
func pickClass(random *rand.Rand) class {
	drawn := random.Float64()
	for _, c := range modelClasses {
		if drawn < c.share {
			return c
		}
		drawn -= c.share
	}
	return modelClasses[len(modelClasses)-1]
}

// drawLogNormal returns a log-normally distributed number of tokens, at least 1. Sigma is the standard deviation of its
// logarithm.
func drawLogNormal(random *rand.Rand, mean, sigma float64) int {
	return max(1, int(mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)))
}

// meanSlotSeconds returns the mean time in seconds for which a model call occupies a slot. It comes from a sample with a
// fixed seed.
func meanSlotSeconds() float64 {
	const sampleSize = 20000
	random := rand.New(rand.NewPCG(1, 2))
	sum := 0.0
	for range sampleSize {
		c := pickClass(random)
		sum += float64(min(drawLogNormal(random, c.meanTokens, c.tokenSigma), c.maxTokens))/tokensPerSecond +
			float64(drawLogNormal(random, c.meanPromptTokens, 0.5))/prefillTokensPerSecond
	}
	return sum / sampleSize
}
