package entry

// firstEstimate is the number of generated tokens expected of a model without history.
const firstEstimate = 256

// smoothing is the part of a moving average that one new value replaces, as a divisor.
const smoothing = 8

// estimates holds moving averages of the generated part of requests, in milli-units. The average of a model, under a key
// without customer and class, serves for customers and classes without history.
type estimates struct {
	averages map[estimateKey]uint64
	// announced holds the values that waiting requests were announced with.
	announced map[estimateKey]uint64
}

// newEstimates returns estimates without history.
func newEstimates() estimates {
	return estimates{averages: make(map[estimateKey]uint64), announced: make(map[estimateKey]uint64)}
}

// expect returns the expected service of a request in milli-units.
func (e estimates) expect(request Request) uint64 {
	if request.IsService {
		return serviceCost
	}
	key := keyOf(request)
	generated, ok := e.averages[key]
	if !ok {
		generated, ok = e.averages[key.whole()]
	}
	if !ok {
		generated = firstEstimate * tokenCost
	}
	if _, known := e.announced[key]; !known {
		e.announced[key] = generated
	}
	if request.MaxTokens > 0 {
		generated = min(generated, TokenCost(0, request.MaxTokens))
	}
	return TokenCost(request.PromptTokens, 0) + generated
}

// learn takes over the service of a request that ended by itself. It reports whether the average has moved so far that
// waiting requests should be announced again.
func (e estimates) learn(request Request, units uint64) bool {
	if request.IsService {
		return false
	}
	generated := units - min(units, TokenCost(request.PromptTokens, 0))
	key := keyOf(request)
	e.move(key.whole(), generated)
	e.move(key, generated)
	average, announced := e.averages[key], e.announced[key]
	if average <= 2*announced && announced <= 2*average {
		return false
	}
	e.announced[key] = average
	return true
}

// move adds a value to a moving average; the first value counts fully.
func (e estimates) move(key estimateKey, value uint64) {
	old, ok := e.averages[key]
	if !ok {
		e.averages[key] = value
		return
	}
	e.averages[key] = old - old/smoothing + value/smoothing
}
