package measure

// gap finds the largest difference of service between any two customers in any interval in which both are backlogged
// all the time.
type gap struct {
	customers int
	joint     []bool
	low, high []float64
	widest    []float64
	cleared   []bool
}

// newGap returns a gap without samples.
func newGap(customers int) *gap {
	pairs := customers * customers
	return &gap{
		customers: customers, joint: make([]bool, pairs), low: make([]float64, pairs), high: make([]float64, pairs),
		widest: make([]float64, pairs), cleared: make([]bool, customers),
	}
}

// clear notes that a customer had nothing waiting at some instant since the last sample.
func (g *gap) clear(customer int) { g.cleared[customer] = true }

// sample takes the weighted service of all customers so far, and which of them are backlogged. Within the time that a
// pair is backlogged, the largest difference in any interval is the range of the difference since its start.
func (g *gap) sample(served []float64, backlogged func(customer int) bool) {
	for a := range g.customers {
		for b := range a {
			pair := a*g.customers + b
			if g.cleared[a] || g.cleared[b] || !backlogged(a) || !backlogged(b) {
				g.joint[pair] = false
			}
			if !backlogged(a) || !backlogged(b) {
				continue
			}
			difference := served[a] - served[b]
			if !g.joint[pair] {
				g.joint[pair], g.low[pair], g.high[pair] = true, difference, difference
			}
			g.low[pair], g.high[pair] = min(g.low[pair], difference), max(g.high[pair], difference)
			g.widest[pair] = max(g.widest[pair], g.high[pair]-g.low[pair])
		}
	}
	clear(g.cleared)
}

// largest returns the largest gap of all pairs, and the largest share of a pair's bound.
func (g *gap) largest(bound func(a, b int) float64) (widest, share float64) {
	for a := range g.customers {
		for b := range a {
			found := g.widest[a*g.customers+b]
			widest = max(widest, found)
			share = max(share, found/bound(a, b))
		}
	}
	return widest, share
}
