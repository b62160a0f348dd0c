package retrybudget

// Budget allows retries in proportion to first attempts. In any period it allows at most the reserve plus the ratio times the
// number of first attempts in that period. It is not safe for concurrent use.
type Budget struct {
	ratio     float64
	reserve   float64
	available float64
}

// initialRetries is the number of retries of a new budget. It is small because the process may have used a full reserve just before it was
// started again, as may all others.
const initialRetries = 1

// New returns a budget of at most one retry. Each first attempt adds ratio retries, up to a total of reserve.
func New(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, available: min(reserve, initialRetries)}
}

// SetReserve changes the reserve. Retries beyond a smaller reserve are lost; a larger one is filled by first attempts.
func (b *Budget) SetReserve(reserve float64) {
	b.reserve = reserve
	b.available = min(b.available, reserve)
}

// RecordFirstAttempt records the first attempt of a request.
func (b *Budget) RecordFirstAttempt() { b.available = min(b.available+b.ratio, b.reserve) }

// TryRetry takes one retry from the budget and reports whether there was one.
func (b *Budget) TryRetry() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
