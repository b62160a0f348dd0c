package config

import (
	"cmp"
	"maps"
	"slices"
)

// Classes returns the sorted names of the customer's classes.
func (c ResolvedCustomer) Classes() []string { return slices.Sorted(maps.Keys(c.classes)) }

// LeastPatientClass returns the name of the class with the lowest PatienceMs, or "" if the customer has no classes. Of
// equal classes it returns the first by name.
func (c ResolvedCustomer) LeastPatientClass() string {
	names := c.Classes()
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int { return cmp.Compare(c.classes[a].PatienceMs, c.classes[b].PatienceMs) })
}
