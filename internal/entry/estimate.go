package entry

// firstEstimate is the number of generated tokens expected from a class without history.
const firstEstimate = 256

// smoothing is the part of a moving average that one new value replaces, as a divisor.
const smoothing = 8

// estimateKey names a moving average.
type estimateKey struct {
	customer uint32
	model    string
	class    string
}

// estimates holds moving averages of the generated part of requests, in milli-units.
type estimates map[estimateKey]uint64

// expect returns the expected service of a request in milli-units.
func (e estimates) expect(request Request) uint64 {
	if request.Service {
		return serviceCost
	}
	generated, ok := e[keyOf(request)]
	if !ok {
		generated = firstEstimate * tokenCost
	}
	if request.MaxTokens > 0 {
		generated = min(generated, TokenCost(0, request.MaxTokens))
	}
	return TokenCost(request.Prompt, 0) + generated
}

// learn takes over the service of a request that ended by itself.
func (e estimates) learn(request Request, units uint64) {
	if request.Service {
		return
	}
	generated := units - min(units, TokenCost(request.Prompt, 0))
	key := keyOf(request)
	old, ok := e[key]
	if !ok {
		e[key] = generated
		return
	}
	e[key] = old - old/smoothing + generated/smoothing
}

// keyOf returns the moving average that a request belongs to.
func keyOf(request Request) estimateKey {
	return estimateKey{customer: request.Customer, model: request.Model, class: request.Class}
}
