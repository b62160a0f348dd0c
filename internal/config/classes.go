package config

import (
	"cmp"
	"maps"
	"slices"
)

// Classes returns the sorted names of the customer's classes.
func (p ResolvedCustomer) Classes() []string { return slices.Sorted(maps.Keys(p.classes)) }

// LeastPatientClass returns the name of the class with the lowest PatienceMs, or "" if the customer has no classes. Of
// equal classes it returns the first by name.
func (p ResolvedCustomer) LeastPatientClass() string {
	names := p.Classes()
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int { return cmp.Compare(p.classes[a].PatienceMs, p.classes[b].PatienceMs) })
}
