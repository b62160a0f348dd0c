package budget

// Budget allows repeats in proportion to first attempts, and a few beyond that. Over any span it allows at most the
// reserve and the ratio of the span's first attempts. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	reserve float64
	left    float64
}

// New returns a full budget: each first attempt allows ratio repeats, of which up to reserve are kept for later.
func New(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, left: reserve}
}

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt() { b.left = min(b.left+b.ratio, b.reserve) }

// TryRetry takes one repeat out of the budget; it reports whether there was one.
func (b *Budget) TryRetry() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
