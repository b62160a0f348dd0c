package config

import "slices"

// Customer is the configuration of one customer of the fleet. Values that are not set come from its template.
type Customer struct {
	// Name is unique among the customers.
	Name string `json:"name"`
	// Number is assigned when the customer is added, and never assigned again. It is ignored in changes.
	Number uint32 `json:"number,omitempty"`
	// Template is the name of the customer's template.
	Template string `json:"template"`
	// Weight is the customer's relative share of the capacity, 1 to 1000; zero means the weight of the template.
	Weight int `json:"weight,omitempty"`
	// Limits override those of the template where they are set.
	Limits Limits `json:"limits,omitzero"`
	// KeyHashes are the SHA-256 hashes of the customer's API keys in hex.
	KeyHashes []string `json:"key_hashes,omitempty"`
}

// entryName implements namedEntry.
func (c *Customer) entryName() string { return c.Name }

// clone returns a deep copy.
func (c Customer) clone() *Customer {
	c.KeyHashes = slices.Clone(c.KeyHashes)
	return &c
}
