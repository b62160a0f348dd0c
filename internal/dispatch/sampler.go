package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

const (
	// maxScannedTargets is the number of targets of a service up to which every decision looks at all of them.
	maxScannedTargets = 128
	// zoneSamples, regionSamples and remoteSamples are the numbers of random targets that a decision looks at in a larger
	// service: in the router's availability zone, in the rest of its region, and in other regions.
	zoneSamples   = 24
	regionSamples = 12
	remoteSamples = 12
	// availabilitySamples is the number of targets from which the number of available ones is estimated in a larger service.
	availabilitySamples = 96
	// maxReadersPerGeneration bounds the number of parts whose last reader is remembered, in each of two generations.
	maxReadersPerGeneration = 50_000
)

// candidateSampler selects the targets of a large service that a decision looks at: those that are likely to have parts of the
// prompt in their cache, the home target of the prompt, and a random sample. This keeps the cost of a decision independent of
// the size of the service.
type candidateSampler struct {
	random                                    *rand.Rand
	zoneTargets, regionTargets, remoteTargets []*targetState
	// hashRing holds the targets of the router's region that are not leaving, ordered by hash. It maps parts of
	// prompts to home targets.
	hashRing []*targetState
	// recentReaders and olderReaders map a part ID to the target that read the part last. When recentReaders is full, it
	// replaces olderReaders.
	recentReaders, olderReaders map[uint64]*targetState
	// selected is the result of the last call of selectCandidates. Its memory is reused by the next call.
	selected []*targetState
}

// newCandidateSampler returns a sampler without targets.
func newCandidateSampler(random *rand.Rand) *candidateSampler {
	return &candidateSampler{
		random: random, recentReaders: make(map[uint64]*targetState), olderReaders: make(map[uint64]*targetState),
	}
}

// setTargets replaces the targets of the service.
func (c *candidateSampler) setTargets(own Locality, targets []*targetState) {
	c.zoneTargets, c.regionTargets, c.remoteTargets, c.hashRing =
		c.zoneTargets[:0], c.regionTargets[:0], c.remoteTargets[:0], c.hashRing[:0]
	for _, state := range targets {
		switch {
		case state.Zone == own.Zone:
			c.zoneTargets = append(c.zoneTargets, state)
		case state.Region == own.Region:
			c.regionTargets = append(c.regionTargets, state)
		default:
			c.remoteTargets = append(c.remoteTargets, state)
		}
		if state.Region == own.Region && !state.Leaving {
			c.hashRing = append(c.hashRing, state)
		}
	}
	slices.SortFunc(c.hashRing, func(a, b *targetState) int { return cmp.Compare(a.placementHash, b.placementHash) })
}

// recordReader records that a target reads a part.
func (c *candidateSampler) recordReader(partID uint64, state *targetState) {
	if len(c.recentReaders) >= maxReadersPerGeneration {
		c.recentReaders, c.olderReaders = make(map[uint64]*targetState), c.recentReaders
	}
	c.recentReaders[partID] = state
}

// lastReader returns the target that read a part last, or nil if it is not known or no longer listed.
func (c *candidateSampler) lastReader(partID uint64) *targetState {
	state := c.recentReaders[partID]
	if state == nil {
		state = c.olderReaders[partID]
	}
	if state == nil || state.removed {
		return nil
	}
	return state
}

// homeTarget returns the target that all routers of the region prefer for a part of a prompt, or nil if there is none.
func (c *candidateSampler) homeTarget(part uint64) *targetState {
	if len(c.hashRing) == 0 {
		return nil
	}
	index, _ := slices.BinarySearchFunc(c.hashRing, rendezvous.Weight(part, 0), func(state *targetState, key uint64) int {
		return cmp.Compare(state.placementHash, key)
	})
	return c.hashRing[index%len(c.hashRing)]
}

// selectCandidates returns the targets to look at for a request. They may contain duplicates. The result is valid until the
// next call.
func (c *candidateSampler) selectCandidates(request *Request) []*targetState {
	c.selected = c.selected[:0]
	for _, part := range request.Parts {
		if state := c.lastReader(part.ID); state != nil {
			c.selected = append(c.selected, state)
		}
	}
	if home := c.homeTarget(request.homePartID()); home != nil {
		c.selected = append(c.selected, home)
	}
	c.appendSample(c.zoneTargets, zoneSamples)
	c.appendSample(c.regionTargets, regionSamples)
	c.appendSample(c.remoteTargets, remoteSamples)
	return c.selected
}

// appendSample appends a random sample of the targets, drawn with replacement, or all targets if there are no more than count.
func (c *candidateSampler) appendSample(targets []*targetState, count int) {
	if len(targets) <= count {
		c.selected = append(c.selected, targets...)
		return
	}
	for range count {
		c.selected = append(c.selected, targets[c.random.IntN(len(targets))])
	}
}
