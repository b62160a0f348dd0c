package measure

// WidestGap returns the largest gap of a history of samples: the weighted service of each customer so far, and the
// customers that are backlogged at the sample and have been since the last one.
func WidestGap(served [][]float64, backlogged [][]bool) float64 {
	g := newGapTracker(len(served[0]))
	for i := range served {
		for customer, waits := range backlogged[i] {
			if !waits {
				g.markIdle(customer)
			}
		}
		g.sample(served[i], func(customer int) bool { return backlogged[i][customer] })
	}
	widest, _ := g.maxGap(func(int, int) float64 { return 1 })
	return widest
}
