package config

import (
	"cmp"
	"maps"
	"slices"
)

// Classes returns the names of the customer's classes, sorted.
func (p ResolvedCustomer) Classes() []string { return slices.Sorted(maps.Keys(p.classes)) }

// LeastPatientClass returns the name of the class with the least patience, empty if there is none.
func (p ResolvedCustomer) LeastPatientClass() string {
	names := p.Classes()
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int { return cmp.Compare(p.classes[a].PatienceMs, p.classes[b].PatienceMs) })
}
