package measure

// gapTracker finds the largest difference in weighted service between any two customers in any interval during which
// both are backlogged all the time. Its slices are indexed by pair, except idleSinceSample, which is indexed by
// customer.
type gapTracker struct {
	customers int
	// bothBacklogged is set while both customers of a pair are backlogged.
	bothBacklogged []bool
	// minDifference and maxDifference cover the present common backlog of a pair.
	minDifference, maxDifference []float64
	// widest is the largest gap of a pair in all its common backlogs.
	widest          []float64
	idleSinceSample []bool
}

// newGapTracker returns a tracker without samples.
func newGapTracker(customers int) *gapTracker {
	pairs := customers * customers
	return &gapTracker{
		customers: customers, bothBacklogged: make([]bool, pairs),
		minDifference: make([]float64, pairs), maxDifference: make([]float64, pairs),
		widest: make([]float64, pairs), idleSinceSample: make([]bool, customers),
	}
}

// markIdle notes that a customer had no waiting request at some instant since the last sample.
func (g *gapTracker) markIdle(customer int) { g.idleSinceSample[customer] = true }

// sample records the weighted service of all customers so far, and which of them are backlogged. While a pair is
// backlogged, the largest difference in any interval is the difference between the maximum and the minimum since the
// backlog of both began.
func (g *gapTracker) sample(served []float64, backlogged func(customer int) bool) {
	for a := range g.customers {
		for b := range a {
			pair := a*g.customers + b
			if g.idleSinceSample[a] || g.idleSinceSample[b] || !backlogged(a) || !backlogged(b) {
				g.bothBacklogged[pair] = false
			}
			if !backlogged(a) || !backlogged(b) {
				continue
			}
			difference := served[a] - served[b]
			if !g.bothBacklogged[pair] {
				g.bothBacklogged[pair], g.minDifference[pair], g.maxDifference[pair] = true, difference, difference
			}
			g.minDifference[pair], g.maxDifference[pair] = min(g.minDifference[pair], difference),
				max(g.maxDifference[pair], difference)
			g.widest[pair] = max(g.widest[pair], g.maxDifference[pair]-g.minDifference[pair])
		}
	}
	clear(g.idleSinceSample)
}

// maxGap returns the largest gap of all pairs, and the largest ratio of a pair's gap to its bound.
func (g *gapTracker) maxGap(bound func(a, b int) float64) (widest, boundShare float64) {
	for a := range g.customers {
		for b := range a {
			pairGap := g.widest[a*g.customers+b]
			widest = max(widest, pairGap)
			boundShare = max(boundShare, pairGap/bound(a, b))
		}
	}
	return widest, boundShare
}
