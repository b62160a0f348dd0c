package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

const (
	// exactTargets is the number of targets of a service up to which all of them are looked at for each request.
	exactTargets = 128
	// zoneSamples, regionSamples and farSamples are the numbers of targets that are drawn beyond that in the router's
	// availability zone, in the rest of its region and elsewhere.
	zoneSamples   = 24
	regionSamples = 12
	farSamples    = 12
	// openSamples is the number of targets from which the number of open ones is estimated.
	openSamples = 96
	// rememberedParts bounds the parts of which the last target is remembered, in each of two generations.
	rememberedParts = 50_000
)

// candidates choose the targets of a large service that are looked at for a request: those that are likely to hold parts of
// its prompt, its session's home, and some that are drawn at random. The cost of a decision does not grow with the service.
type candidates struct {
	random            *rand.Rand
	zone, region, far []*targetState
	// ring holds the targets of the region by their weight, for the homes of sessions.
	ring []*targetState
	// recent and older hold the target that read a part last.
	recent, older map[uint64]*targetState
	picked        []*targetState
}

// newCandidates returns candidates of a service without targets.
func newCandidates(random *rand.Rand) *candidates {
	return &candidates{random: random, recent: make(map[uint64]*targetState), older: make(map[uint64]*targetState)}
}

// locate takes over the targets of the service.
func (c *candidates) locate(from Locality, targets []*targetState) {
	c.zone, c.region, c.far, c.ring = c.zone[:0], c.region[:0], c.far[:0], c.ring[:0]
	for _, state := range targets {
		switch {
		case state.Zone == from.Zone:
			c.zone = append(c.zone, state)
		case state.Region == from.Region:
			c.region = append(c.region, state)
		default:
			c.far = append(c.far, state)
		}
		if state.Region == from.Region && !state.Leaving {
			c.ring = append(c.ring, state)
		}
	}
	slices.SortFunc(c.ring, func(a, b *targetState) int { return cmp.Compare(a.hash, b.hash) })
}

// remember notes that a target reads a part.
func (c *candidates) remember(part uint64, state *targetState) {
	if len(c.recent) >= rememberedParts {
		c.recent, c.older = make(map[uint64]*targetState), c.recent
	}
	c.recent[part] = state
}

// reader returns the target that read a part last, nil if none is known.
func (c *candidates) reader(part uint64) *targetState {
	state := c.recent[part]
	if state == nil {
		state = c.older[part]
	}
	if state == nil || state.gone {
		return nil
	}
	return state
}

// home returns the target that all routers of the region prefer for a session, nil if there is none.
func (c *candidates) home(session uint64) *targetState {
	if len(c.ring) == 0 {
		return nil
	}
	place, _ := slices.BinarySearchFunc(c.ring, rendezvous.Weight(session, 0), func(state *targetState, key uint64) int {
		return cmp.Compare(state.hash, key)
	})
	return c.ring[place%len(c.ring)]
}

// pick returns the targets to look at. The result is valid until the next call.
func (c *candidates) pick(request *Request) []*targetState {
	c.picked = c.picked[:0]
	for _, part := range request.Parts {
		if state := c.reader(part.ID); state != nil {
			c.picked = append(c.picked, state)
		}
	}
	if home := c.home(request.session()); home != nil {
		c.picked = append(c.picked, home)
	}
	c.draw(c.zone, zoneSamples)
	c.draw(c.region, regionSamples)
	c.draw(c.far, farSamples)
	return c.picked
}

// draw adds some of the targets, or all if there are few.
func (c *candidates) draw(from []*targetState, count int) {
	if len(from) <= count {
		c.picked = append(c.picked, from...)
		return
	}
	for range count {
		c.picked = append(c.picked, from[c.random.IntN(len(from))])
	}
}
