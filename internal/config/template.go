package config

import "maps"

// Template holds the parameters that its customers share.
type Template struct {
	// Name is unique among the templates.
	Name string `json:"name"`
	// Weight is the customers' share, 1 to 1000.
	Weight int `json:"weight"`
	// Classes are the kinds of requests by name.
	Classes map[string]Class `json:"classes"`
	// Limits bound what each customer may hold at each router.
	Limits Limits `json:"limits,omitzero"`
}

// key returns the name.
func (t *Template) key() string { return t.Name }

// clone returns a copy that shares nothing.
func (t Template) clone() *Template {
	t.Classes = maps.Clone(t.Classes)
	return &t
}
