package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// MaxAcceptedIDs is the number of accepted changes whose ids a state remembers. At 11,000 changes a day they cover more
// than two hours.
const MaxAcceptedIDs = 1024

// credential is a key hash with its customer.
type credential struct {
	hash     [sha256.Size]byte
	customer *Customer
}

// State is an immutable configuration. The zero value is the empty configuration of version zero. All lists are sorted
// and shared between states that do not differ in them.
type State struct {
	version     uint64
	issued      uint32
	templates   []*Template
	customers   []*Customer
	services    []*Service
	numbered    []*Customer
	credentials []credential
	accepted    []AcceptedChange
}

// Version returns the number of changes that were accepted so far.
func (s State) Version() uint64 { return s.version }

// Templates returns all templates, sorted by name; the caller must not change their maps.
func (s State) Templates() []Template { return values(s.templates) }

// Customers returns all customers, sorted by name; the caller must not change their slices.
func (s State) Customers() []Customer { return values(s.customers) }

// Services returns all services, sorted by name; the caller must not change their maps.
func (s State) Services() []Service { return values(s.services) }

// Idempotent tells whether an operation of a service is idempotent; found is false if either is unknown.
func (s State) Idempotent(service, operation string) (idempotent, found bool) {
	entry, found := find(s.services, service)
	if !found {
		return false, false
	}
	idempotent, found = entry.Operations[operation]
	return idempotent, found
}

// HasService tells whether a service is known.
func (s State) HasService(service string) bool {
	_, found := find(s.services, service)
	return found
}

// Customer returns the resolved values of a customer by name.
func (s State) Customer(name string) (ResolvedCustomer, bool) {
	customer, found := find(s.customers, name)
	return s.resolve(customer), found
}

// CustomerByNumber returns the resolved values of a customer by number.
func (s State) CustomerByNumber(number uint32) (ResolvedCustomer, bool) {
	i, found := slices.BinarySearchFunc(s.numbered, number, func(c *Customer, n uint32) int {
		return cmp.Compare(c.Number, n)
	})
	if !found {
		return ResolvedCustomer{}, false
	}
	return s.resolve(s.numbered[i]), true
}

// CustomerByKey returns the resolved values of the customer that owns a key, found by the SHA-256 hash of the key.
func (s State) CustomerByKey(key string) (ResolvedCustomer, bool) {
	customer, found := s.holder(sha256.Sum256([]byte(key)))
	return s.resolve(customer), found
}

// holder returns the customer that owns a key hash.
func (s State) holder(hash [sha256.Size]byte) (*Customer, bool) {
	i, found := slices.BinarySearchFunc(s.credentials, hash, func(c credential, h [sha256.Size]byte) int {
		return bytes.Compare(c.hash[:], h[:])
	})
	if !found {
		return nil, false
	}
	return s.credentials[i].customer, true
}

// resolve joins a customer's own values with its template's and the defaults.
func (s State) resolve(customer *Customer) ResolvedCustomer {
	if customer == nil {
		return ResolvedCustomer{}
	}
	template, found := find(s.templates, customer.Template)
	if !found {
		template = &Template{}
	}
	return ResolvedCustomer{
		Name:     customer.Name,
		Number:   customer.Number,
		Template: customer.Template,
		Weight:   cmp.Or(customer.Weight, template.Weight),
		Limits:   customer.Limits.WithDefaults(template.Limits).WithDefaults(DefaultLimits()),
		classes:  template.Classes,
	}
}

// AcceptedChange returns the accepted change of an id, if it is one of the last MaxAcceptedIDs.
func (s State) AcceptedChange(id string) (AcceptedChange, bool) {
	for _, accepted := range slices.Backward(s.accepted) {
		if accepted.ID == id {
			return accepted, true
		}
	}
	return AcceptedChange{}, false
}

// WithTemplate returns a state of the same version with a template put in, unchecked.
func (s State) WithTemplate(template Template) State {
	return s.with(Change{PutTemplates: []Template{template}})
}

// WithCustomer returns a state of the same version with a customer put in, unchecked. A new customer gets the next
// number.
func (s State) WithCustomer(customer Customer) State {
	return s.with(Change{PutCustomers: []Customer{customer}})
}

// WithService returns a state of the same version with a service put in, unchecked.
func (s State) WithService(service Service) State {
	return s.with(Change{PutServices: []Service{service}})
}

// WithChange returns the state after a change. The error is a *RepeatedError, a *StaleError or an *InvalidError; the
// state is then the same as before.
func (s State) WithChange(change Change) (State, error) {
	if err := s.check(change); err != nil {
		return s, err
	}
	changed := s.with(change)
	changed.version++
	forgotten := max(0, len(s.accepted)+1-MaxAcceptedIDs)
	changed.accepted = append(slices.Clone(s.accepted[forgotten:]),
		AcceptedChange{ID: change.ID, Version: changed.version, Hash: change.sum()})
	return changed, nil
}

// with applies the operations of a change.
func (s State) with(change Change) State {
	templates := clones(change.PutTemplates, Template.clone)
	s.templates = replace(s.templates, templates, change.DeleteTemplates)
	services := clones(change.PutServices, Service.clone)
	s.services = replace(s.services, services, change.DeleteServices)
	customers := clones(change.PutCustomers, Customer.clone)
	for _, customer := range customers {
		if old, found := find(s.customers, customer.Name); found {
			customer.Number = old.Number
			continue
		}
		s.issued++
		customer.Number = s.issued
	}
	return s.withCustomers(customers, change.DeleteCustomers)
}

// withCustomers replaces customers that have their numbers, in all three lists.
func (s State) withCustomers(puts []*Customer, deletes []string) State {
	if len(puts)+len(deletes) == 0 {
		return s
	}
	old := present(s.customers, puts, deletes)
	s.customers = replace(s.customers, puts, deletes)
	byNumber := func(a, b *Customer) int { return cmp.Compare(a.Number, b.Number) }
	s.numbered = merge(s.numbered, sorted(old, byNumber), sorted(puts, byNumber), byNumber)
	byHash := func(a, b credential) int { return bytes.Compare(a.hash[:], b.hash[:]) }
	s.credentials = merge(s.credentials, sorted(credentials(old), byHash), sorted(credentials(puts), byHash), byHash)
	return s
}

// credentials returns the key hashes of customers; malformed ones are left out.
func credentials(customers []*Customer) []credential {
	var all []credential
	for _, customer := range customers {
		for _, text := range customer.KeyHashes {
			if hash, ok := parseHash(text); ok {
				all = append(all, credential{hash: hash, customer: customer})
			}
		}
	}
	return all
}

// parseHash reads a SHA-256 hash in hex.
func parseHash(text string) (hash [sha256.Size]byte, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(hash) {
		return hash, false
	}
	return [sha256.Size]byte(data), true
}
