package config

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Change is a set of puts and deletes that an operator publishes. They take effect atomically.
type Change struct {
	// ID is chosen by the operator. Sending the same change again with the same id has no further effect.
	ID string `json:"id"`
	// Base is the version of the state to which the change applies.
	Base uint64 `json:"base"`
	// Author names the operator.
	Author string `json:"author,omitempty"`
	// PutTemplates, PutCustomers and PutServices are added, or replace the entries of the same name.
	PutTemplates []Template `json:"put_templates,omitempty"`
	PutCustomers []Customer `json:"put_customers,omitempty"`
	PutServices  []Service  `json:"put_services,omitempty"`
	// DeleteTemplates, DeleteCustomers and DeleteServices are the names of the entries to remove.
	DeleteTemplates []string `json:"delete_templates,omitempty"`
	DeleteCustomers []string `json:"delete_customers,omitempty"`
	DeleteServices  []string `json:"delete_services,omitempty"`
}

// hash returns a hash of the whole change, which distinguishes a repeated change from another one with the same id.
func (c Change) hash() uint64 {
	data, err := json.Marshal(c)
	if err != nil {
		return 0 // Strings, numbers and booleans always have a JSON form.
	}
	return xxhash.Sum64(data)
}
