package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

// class is a kind of requests.
type class struct {
	name     string
	share    float64
	mean     float64
	spread   float64
	most     int
	prompt   float64
	patience time.Duration
	long     bool
}

// Names of the classes of service calls; they are counted apart from model calls.
const (
	lookup  = "lookup"
	booking = "booking"
)

// classes are the kinds of model calls: long ones have a heavy tail.
var classes = []class{
	{name: "long", share: 0.2, mean: 400, spread: 1, most: 4000, prompt: 800, patience: 30 * time.Second, long: true},
	{name: "quick", share: 0.4, mean: 40, spread: 0.5, most: 200, prompt: 200, patience: 1300 * time.Millisecond},
	{name: "tagging", share: 0.4, mean: 4, spread: 0.3, most: 12, prompt: 1000, patience: 500 * time.Millisecond},
}

// pickClass draws a class by the shares.
func pickClass(random *rand.Rand) class {
	drawn := random.Float64()
	for _, c := range classes {
		if drawn < c.share {
			return c
		}
		drawn -= c.share
	}
	return classes[len(classes)-1]
}

// draw returns a log-normal number of tokens with the given mean.
func draw(random *rand.Rand, mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2)))
}

// slotSeconds returns the mean time for which a model call holds a slot, from a fixed sample.
func slotSeconds() float64 {
	const sample = 20000
	random := rand.New(rand.NewPCG(1, 2))
	sum := 0.0
	for range sample {
		c := pickClass(random)
		sum += float64(min(draw(random, c.mean, c.spread), c.most))/tokenRate +
			float64(draw(random, c.prompt, 0.5))/prefillRate
	}
	return sum / sample
}
