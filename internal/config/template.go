package config

import "maps"

// Template holds the values that apply to all customers that refer to it.
type Template struct {
	// Name is unique among the templates.
	Name string `json:"name"`
	// Weight is the relative share of the capacity of each customer without a weight of its own, 1 to 1000.
	Weight int `json:"weight"`
	// Classes are the request classes by name.
	Classes map[string]Class `json:"classes"`
	// Limits bound the resources of each customer at each router.
	Limits Limits `json:"limits,omitzero"`
}

// entryName implements namedEntry.
func (t *Template) entryName() string { return t.Name }

// clone returns a deep copy.
func (t Template) clone() *Template {
	t.Classes = maps.Clone(t.Classes)
	return &t
}
