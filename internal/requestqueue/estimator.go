package requestqueue

// defaultOutputTokens is the expected number of generated tokens for a model without history.
const defaultOutputTokens = 256

// averageDivisor is the inverse of the weight of a new value in an exponential moving average.
const averageDivisor = 8

// estimator predicts the service of requests. It keeps exponential moving averages of the cost of the generated tokens, in
// milli-units, for each combination of customer, model and class, and for each model. The average of the model is used for
// combinations without history.
type estimator struct {
	averages map[averageKey]uint64
	// announcedAverages holds the values on which the announced estimates of waiting requests are based.
	announcedAverages map[averageKey]uint64
}

// newEstimator returns an estimator without history.
func newEstimator() estimator {
	return estimator{averages: make(map[averageKey]uint64), announcedAverages: make(map[averageKey]uint64)}
}

// estimate returns the expected service of a request in milli-units. The output part is at most MaxTokens, if that is set.
func (e estimator) estimate(request Request) uint64 {
	if request.IsService {
		return milliUnitsPerServiceCall
	}
	key := averageKeyOf(request)
	generated, ok := e.averages[key]
	if !ok {
		generated, ok = e.averages[key.modelKey()]
	}
	if !ok {
		generated = defaultOutputTokens * milliUnitsPerOutputToken
	}
	if _, known := e.announcedAverages[key]; !known {
		e.announcedAverages[key] = generated
	}
	if request.MaxTokens > 0 {
		generated = min(generated, TokenCost(0, request.MaxTokens))
	}
	return TokenCost(request.PromptTokens, 0) + generated
}

// recordService updates the averages with the service, in milli-units, of a request that ran to its end. It reports whether
// the average is now more than twice or less than half of the announced one, in which case waiting requests should be announced
// again.
func (e estimator) recordService(request Request, units uint64) bool {
	if request.IsService {
		return false
	}
	generated := units - min(units, TokenCost(request.PromptTokens, 0))
	key := averageKeyOf(request)
	e.updateAverage(key.modelKey(), generated)
	e.updateAverage(key, generated)
	average, announced := e.averages[key], e.announcedAverages[key]
	if average <= 2*announced && announced <= 2*average {
		return false
	}
	e.announcedAverages[key] = average
	return true
}

// updateAverage adds a value to a moving average. The first value becomes the average.
func (e estimator) updateAverage(key averageKey, value uint64) {
	old, ok := e.averages[key]
	if !ok {
		e.averages[key] = value
		return
	}
	e.averages[key] = old - old/averageDivisor + value/averageDivisor
}
