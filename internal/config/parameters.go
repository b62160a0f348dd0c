package config

import "cmp"

// ResolvedCustomer are the resolved values of one customer: its own, else its template's, else the defaults.
type ResolvedCustomer struct {
	// Name is the customer's name.
	Name string
	// Number is the customer's number.
	Number uint32
	// Template is the name of the customer's template.
	Template string
	// Weight is the customer's share, 1 to 1000.
	Weight int
	// Limits bound what the customer may hold at each router; all values are set.
	Limits Limits

	classes map[string]Class
}

// Class returns a class of the customer by name, with the default estimate if it names none.
func (p ResolvedCustomer) Class(name string) (Class, bool) {
	class, found := p.classes[name]
	class.Estimate = cmp.Or(class.Estimate, DefaultEstimate)
	return class, found
}
