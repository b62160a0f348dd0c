package overload

import (
	"math"
	"time"
)

const (
	// customerShedDelay is the start delay of new connections above which requests are refused early if most requests of their
	// customer are refused anyway.
	customerShedDelay = 40 * time.Millisecond
	// fullShedDelay is the start delay above which requests of all customers are refused early. The probability rises over a
	// further fullShedRamp, to 1.
	fullShedDelay = 250 * time.Millisecond
	fullShedRamp  = 500 * time.Millisecond
	// delayTTL is the time for which a recorded start delay is used.
	delayTTL = 200 * time.Millisecond
	// outcomeDecayTime is the time in which the weight of an outcome decays to 1/e.
	outcomeDecayTime = time.Second
	// minRefusals is the weight of refusals at which a customer may count as mostly refused.
	minRefusals = 10
	// admitFactor and minAdmitFraction set the fraction of a customer's requests that are still read: admitFactor times the
	// fraction that gets a target, plus minAdmitFraction. Requests that could get a target must not be refused early.
	admitFactor      = 2
	minAdmitFraction = 0.05
)

// outcomes holds two exponentially decaying counts for a customer: requests that got a target, and requests that were refused
// for lack of capacity.
type outcomes struct {
	placed, refused float64
	updatedAt       time.Time
}

// decay reduces the weight of past outcomes for the time since the last call.
func (o *outcomes) decay(now time.Time) {
	factor := math.Exp(-float64(max(now.Sub(o.updatedAt), 0)) / float64(outcomeDecayTime))
	o.placed, o.refused, o.updatedAt = o.placed*factor, o.refused*factor, now
}

// LoadShedder tracks how long new connections wait for CPU time, and which customers' requests are mostly refused. It is not
// safe for concurrent use.
type LoadShedder struct {
	startDelay time.Duration
	measuredAt time.Time
	customers  map[string]*outcomes
}

// New returns a load shedder that refuses nothing until a delay is recorded.
func New() *LoadShedder { return &LoadShedder{customers: make(map[string]*outcomes)} }

// RecordStartDelay records the time from the acceptance of a connection until the process began to read from it.
func (s *LoadShedder) RecordStartDelay(now time.Time, delay time.Duration) {
	s.startDelay, s.measuredAt = delay, now
}

// IsOverloaded reports whether any request may be refused early.
func (s *LoadShedder) IsOverloaded(now time.Time) bool {
	return s.startDelay > customerShedDelay && now.Sub(s.measuredAt) < delayTTL
}

// RecordOutcome records the outcome of a request that was read: it got a target, or it was refused for lack of capacity.
func (s *LoadShedder) RecordOutcome(now time.Time, customer string, refused bool) {
	o, found := s.customers[customer]
	if !found {
		o = &outcomes{updatedAt: now}
		s.customers[customer] = o
	}
	o.decay(now)
	if refused {
		o.refused++
	} else {
		o.placed++
	}
}

// ShouldRefuse reports whether a request of a customer is refused early. random is a random number from 0 to 1.
func (s *LoadShedder) ShouldRefuse(now time.Time, customer string, random float64) bool {
	if !s.IsOverloaded(now) {
		return false
	}
	if random < float64(s.startDelay-fullShedDelay)/float64(fullShedRamp) {
		return true
	}
	o, found := s.customers[customer]
	if !found {
		return false
	}
	o.decay(now)
	if o.refused < minRefusals {
		return false
	}
	return random >= minAdmitFraction+admitFactor*o.placed/(o.placed+o.refused)
}
