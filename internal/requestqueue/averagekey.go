package requestqueue

// averageKey identifies a moving average of an estimator. Customer and class are zero for the average of a model.
type averageKey struct {
	customer uint32
	model    string
	class    string
}

// averageKeyOf returns the key of the average that a request contributes to.
func averageKeyOf(request Request) averageKey {
	return averageKey{customer: request.Customer, model: request.Model, class: request.Class}
}

// modelKey returns the key of the average over all customers and classes of the model.
func (k averageKey) modelKey() averageKey { return averageKey{model: k.model} }
