package dispatch

import (
	"math"
	"time"
)

const (
	// partDemandTime is the time in which the weight of a request for a part of a prompt decays to 1/e.
	partDemandTime = 4 * time.Second
	// maxCopyLoad is the fraction of a target's time that the requests for one part may take before another copy of the part is worth its
	// memory.
	maxCopyLoad = 0.4
	// meanReadWeight is the weight of one request in the mean number of tokens that targets read for a request.
	meanReadWeight = 0.02
	// maxTrackedParts is the number of parts whose demand is remembered, from which those that are no longer used are dropped.
	maxTrackedParts = 20_000
)

// decayingCount is an exponentially decaying number of requests.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

// valueAt returns the decayed number at a time.
func (c decayingCount) valueAt(now time.Time) float64 {
	return c.value * math.Exp(-float64(max(now.Sub(c.updatedAt), 0))/float64(partDemandTime))
}

// partDemand measures how often the parts of prompts are asked for at this router, and what a request for them costs a target.
type partDemand struct {
	byPart map[uint64]decayingCount
	// meanRead is the mean number of tokens that a target reads for a request.
	meanRead float64
}

// newPartDemand returns a measurement without requests.
func newPartDemand() *partDemand { return &partDemand{byPart: make(map[uint64]decayingCount)} }

// recordRequest adds a request for a part.
func (p *partDemand) recordRequest(now time.Time, partID uint64) {
	if len(p.byPart) >= maxTrackedParts {
		p.prune(now)
	}
	p.byPart[partID] = decayingCount{value: p.byPart[partID].valueAt(now) + 1, updatedAt: now}
}

// prune drops the parts that were hardly used lately, and all if too many remain.
func (p *partDemand) prune(now time.Time) {
	for id, count := range p.byPart {
		if count.valueAt(now) < 0.1 {
			delete(p.byPart, id)
		}
	}
	if len(p.byPart) >= maxTrackedParts {
		clear(p.byPart)
	}
}

// recordRead adds the number of tokens that a target reads for a request.
func (p *partDemand) recordRead(tokens int) {
	p.meanRead += (float64(tokens) - p.meanRead) * meanReadWeight
}

// copiesWanted returns the number of targets that should have a part, given the fraction of the fleet's requests that reach this router:
// one, and one more for each maxCopyLoad of a target's time that the requests for the part take.
func (p *partDemand) copiesWanted(now time.Time, partID uint64, ownFraction, readSpeed float64) int {
	perSecond := p.byPart[partID].valueAt(now) / partDemandTime.Seconds() / max(ownFraction, 1e-6)
	return 1 + int(perSecond*p.meanRead/readSpeed/maxCopyLoad)
}
