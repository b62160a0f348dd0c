package entry

// estimateKey names a moving average.
type estimateKey struct {
	customer uint32
	model    string
	class    string
}

// keyOf returns the moving average that a request belongs to.
func keyOf(request Request) estimateKey {
	return estimateKey{customer: request.Customer, model: request.Model, class: request.Class}
}

// whole returns the key of the average of a model.
func (k estimateKey) whole() estimateKey { return estimateKey{model: k.model} }
