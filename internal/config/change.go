package config

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Change is a set of operations that an operator publishes; they take effect together or not at all.
type Change struct {
	// ID is chosen by the operator; the same id counts once.
	ID string `json:"id"`
	// Base is the version that the change builds on.
	Base uint64 `json:"base"`
	// Author names the operator.
	Author string `json:"author,omitempty"`
	// PutTemplates are added or replace those of the same name, like the other puts.
	PutTemplates []Template `json:"put_templates,omitempty"`
	PutCustomers []Customer `json:"put_customers,omitempty"`
	PutServices  []Service  `json:"put_services,omitempty"`
	// DeleteTemplates are names of templates to remove, like the other deletes.
	DeleteTemplates []string `json:"delete_templates,omitempty"`
	DeleteCustomers []string `json:"delete_customers,omitempty"`
	DeleteServices  []string `json:"delete_services,omitempty"`
}

// sum returns a hash of the whole change, to tell a repeated change from another one with the same id.
func (c Change) sum() uint64 {
	data, err := json.Marshal(c)
	if err != nil {
		return 0 // Strings, numbers and booleans always have a JSON form.
	}
	return xxhash.Sum64(data)
}
