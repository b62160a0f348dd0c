package overload

import (
	"math"
	"time"
)

const (
	// behind is the delay of new connections from which requests of customers are refused early that are mostly refused
	// anyway.
	behind = 40 * time.Millisecond
	// hopeless is the delay from which requests of all customers are refused early, and hopelessSpan the further delay at
	// which all of them are.
	hopeless     = 250 * time.Millisecond
	hopelessSpan = 500 * time.Millisecond
	// delaySpan is the time for which a measured delay counts.
	delaySpan = 200 * time.Millisecond
	// outcomeSpan is the time in which the weight of an outcome falls to a third.
	outcomeSpan = time.Second
	// fewest is the number of refusals from which a customer counts as mostly refused.
	fewest = 10
	// spareFactor is the part of a customer's requests that are read, in multiples of the part that gets a target, and
	// leastPart is read in any case: what the customer may have must not be lost at the door.
	spareFactor = 2
	leastPart   = 0.05
)

// outcomes are the numbers of a customer's requests that got a target and that were refused for lack of capacity.
type outcomes struct {
	placed, refused float64
	at              time.Time
}

// decay reduces the weight of what is past.
func (o *outcomes) decay(now time.Time) {
	factor := math.Exp(-float64(max(now.Sub(o.at), 0)) / float64(outcomeSpan))
	o.placed, o.refused, o.at = o.placed*factor, o.refused*factor, now
}

// LoadShedder knows how late new connections get the processor, and which customers' requests are mostly refused.
type LoadShedder struct {
	delay     time.Duration
	measured  time.Time
	customers map[string]*outcomes
}

// New returns a guard that refuses nothing.
func New() *LoadShedder { return &LoadShedder{customers: make(map[string]*outcomes)} }

// RecordStartDelay notes how long a new connection waited until the process began to read it.
func (g *LoadShedder) RecordStartDelay(now time.Time, waited time.Duration) {
	g.delay, g.measured = waited, now
}

// IsOverloaded tells whether any request may be refused early.
func (g *LoadShedder) IsOverloaded(now time.Time) bool {
	return g.delay > behind && now.Sub(g.measured) < delaySpan
}

// RecordOutcome counts a request that was read: it got a target, or was refused for lack of capacity.
func (g *LoadShedder) RecordOutcome(now time.Time, customer string, refused bool) {
	o, found := g.customers[customer]
	if !found {
		o = &outcomes{at: now}
		g.customers[customer] = o
	}
	o.decay(now)
	if refused {
		o.refused++
	} else {
		o.placed++
	}
}

// ShouldRefuse tells whether a request of a customer is refused early; draw is a random number from 0 to 1.
func (g *LoadShedder) ShouldRefuse(now time.Time, customer string, draw float64) bool {
	if !g.IsOverloaded(now) {
		return false
	}
	if draw < float64(g.delay-hopeless)/float64(hopelessSpan) {
		return true
	}
	o, found := g.customers[customer]
	if !found {
		return false
	}
	o.decay(now)
	if o.refused < fewest {
		return false
	}
	return draw >= leastPart+spareFactor*o.placed/(o.placed+o.refused)
}
