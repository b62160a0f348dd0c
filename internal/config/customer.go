package config

import "slices"

// Customer is one customer of the fleet.
type Customer struct {
	// Name is unique among the customers.
	Name string `json:"name"`
	// Number is issued by the fold and never issued again; it is ignored in changes.
	Number uint32 `json:"number,omitempty"`
	// Template is the name of the customer's template.
	Template string `json:"template"`
	// Weight is the customer's share, 1 to 1000, zero for the template's.
	Weight int `json:"weight,omitempty"`
	// Limits override those of the template.
	Limits Limits `json:"limits,omitzero"`
	// KeyHashes are SHA-256 hashes of the customer's keys in hex.
	KeyHashes []string `json:"key_hashes,omitempty"`
}

// key returns the name.
func (c *Customer) key() string { return c.Name }

// clone returns a copy that shares nothing.
func (c Customer) clone() *Customer {
	c.KeyHashes = slices.Clone(c.KeyHashes)
	return &c
}
