package config

import "cmp"

// ResolvedCustomer holds the effective values of one customer: its own, else those of its template, else the defaults.
type ResolvedCustomer struct {
	// Name is the name of the customer.
	Name string
	// Number is the number that was assigned to the customer.
	Number uint32
	// Template is the name of the customer's template.
	Template string
	// Weight is the customer's relative share of the capacity, 1 to 1000.
	Weight int
	// Limits bound the customer's resources at each router; all of them are set.
	Limits Limits

	classes map[string]Class
}

// Class returns a class of the customer by name, with DefaultEstimate if it has no estimate. It returns false if there
// is no such class.
func (c ResolvedCustomer) Class(name string) (Class, bool) {
	class, found := c.classes[name]
	class.Estimate = cmp.Or(class.Estimate, DefaultEstimate)
	return class, found
}
