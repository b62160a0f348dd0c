package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// MaxAcceptedIDs is the number of accepted changes whose ids a state keeps to recognize repeated changes. At 11,000
// changes a day they cover more than two hours.
const MaxAcceptedIDs = 1024

// credential is the hash of an API key and the customer that owns the key.
type credential struct {
	hash     [sha256.Size]byte
	customer *Customer
}

// State is an immutable configuration; it is safe for concurrent use. The zero value is the empty configuration of
// version zero. The lists are sorted, and shared between states that do not differ in them.
type State struct {
	version uint64
	// lastCustomerNumber is the highest number that was ever assigned to a customer.
	lastCustomerNumber uint32
	// templates, customers and services are sorted by name.
	templates []*Template
	customers []*Customer
	services  []*Service
	// customersByNumber holds the customers sorted by number.
	customersByNumber []*Customer
	// credentials are sorted by hash.
	credentials []credential
	// accepted are the latest accepted changes, oldest first, at most MaxAcceptedIDs.
	accepted []AcceptedChange
}

// Version returns the version of the state. Each accepted change increments it, and a resumed snapshot raises it to the
// first version of a new epoch.
func (s State) Version() uint64 { return s.version }

// Templates returns all templates, sorted by name. The caller must not modify their maps.
func (s State) Templates() []Template { return derefAll(s.templates) }

// Customers returns all customers, sorted by name. The caller must not modify their slices.
func (s State) Customers() []Customer { return derefAll(s.customers) }

// Services returns all services, sorted by name. The caller must not modify their maps.
func (s State) Services() []Service { return derefAll(s.services) }

// Idempotent reports whether an operation of a service is idempotent; found is false if the service or the operation does
// not exist.
func (s State) Idempotent(service, operation string) (idempotent, found bool) {
	entry, found := findByName(s.services, service)
	if !found {
		return false, false
	}
	idempotent, found = entry.Operations[operation]
	return idempotent, found
}

// HasService reports whether a service exists.
func (s State) HasService(service string) bool {
	_, found := findByName(s.services, service)
	return found
}

// Customer returns the customer with a name, or false if there is none.
func (s State) Customer(name string) (ResolvedCustomer, bool) {
	customer, found := findByName(s.customers, name)
	return s.resolve(customer), found
}

// CustomerByNumber returns the customer with a number, or false if there is none.
func (s State) CustomerByNumber(number uint32) (ResolvedCustomer, bool) {
	i, found := slices.BinarySearchFunc(s.customersByNumber, number, func(c *Customer, n uint32) int {
		return cmp.Compare(c.Number, n)
	})
	if !found {
		return ResolvedCustomer{}, false
	}
	return s.resolve(s.customersByNumber[i]), true
}

// CustomerByKey returns the customer that owns an API key, or false if there is none. The state holds only the SHA-256
// hashes of the keys.
func (s State) CustomerByKey(key string) (ResolvedCustomer, bool) {
	customer, found := s.customerByKeyHash(sha256.Sum256([]byte(key)))
	return s.resolve(customer), found
}

// customerByKeyHash returns the customer that owns the key with a hash, or false if there is none.
func (s State) customerByKeyHash(hash [sha256.Size]byte) (*Customer, bool) {
	i, found := slices.BinarySearchFunc(s.credentials, hash, func(c credential, h [sha256.Size]byte) int {
		return bytes.Compare(c.hash[:], h[:])
	})
	if !found {
		return nil, false
	}
	return s.credentials[i].customer, true
}

// resolve fills in the values that a customer does not set from its template and the defaults. A nil customer resolves to
// the zero value.
func (s State) resolve(customer *Customer) ResolvedCustomer {
	if customer == nil {
		return ResolvedCustomer{}
	}
	template, found := findByName(s.templates, customer.Template)
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

// AcceptedChange returns the accepted change with an id, or false if it is not among the latest MaxAcceptedIDs.
func (s State) AcceptedChange(id string) (AcceptedChange, bool) {
	for _, accepted := range slices.Backward(s.accepted) {
		if accepted.ID == id {
			return accepted, true
		}
	}
	return AcceptedChange{}, false
}

// WithTemplate returns a state of the same version with a template added or replaced, without validation.
func (s State) WithTemplate(template Template) State {
	return s.apply(Change{PutTemplates: []Template{template}})
}

// WithCustomer returns a state of the same version with a customer added or replaced, without validation. A new customer
// gets the next number.
func (s State) WithCustomer(customer Customer) State {
	return s.apply(Change{PutCustomers: []Customer{customer}})
}

// WithService returns a state of the same version with a service added or replaced, without validation.
func (s State) WithService(service Service) State {
	return s.apply(Change{PutServices: []Service{service}})
}

// WithChange returns the state that results from a change. The error is a *RepeatedError, a *StaleError or an
// *InvalidError; the returned state is then s itself.
func (s State) WithChange(change Change) (State, error) {
	if err := s.validate(change); err != nil {
		return s, err
	}
	next := s.apply(change)
	next.version++
	firstKept := max(0, len(s.accepted)+1-MaxAcceptedIDs)
	next.accepted = append(slices.Clone(s.accepted[firstKept:]),
		AcceptedChange{ID: change.ID, Version: next.version, Hash: change.hash()})
	return next, nil
}

// apply returns the state with the puts and deletes of a change, without validation and with the same version. Customers
// keep their numbers, new ones get the next number.
func (s State) apply(change Change) State {
	templates := cloneAll(change.PutTemplates, Template.clone)
	s.templates = replaceByName(s.templates, templates, change.DeleteTemplates)
	services := cloneAll(change.PutServices, Service.clone)
	s.services = replaceByName(s.services, services, change.DeleteServices)
	customers := cloneAll(change.PutCustomers, Customer.clone)
	for _, customer := range customers {
		if old, found := findByName(s.customers, customer.Name); found {
			customer.Number = old.Number
			continue
		}
		s.lastCustomerNumber++
		customer.Number = s.lastCustomerNumber
	}
	return s.replaceCustomers(customers, change.DeleteCustomers)
}

// replaceCustomers updates the lists of customers by name, by number and by key hash. The customers in puts must have
// their numbers already.
func (s State) replaceCustomers(puts []*Customer, deletes []string) State {
	if len(puts)+len(deletes) == 0 {
		return s
	}
	previous := entriesToReplace(s.customers, puts, deletes)
	s.customers = replaceByName(s.customers, puts, deletes)
	byNumber := func(a, b *Customer) int { return cmp.Compare(a.Number, b.Number) }
	s.customersByNumber = merge(s.customersByNumber, sortedCopy(previous, byNumber), sortedCopy(puts, byNumber), byNumber)
	byHash := func(a, b credential) int { return bytes.Compare(a.hash[:], b.hash[:]) }
	s.credentials = merge(s.credentials, sortedCopy(credentials(previous), byHash), sortedCopy(credentials(puts), byHash), byHash)
	return s
}

// credentials returns the credentials of customers, without those whose hash is malformed.
func credentials(customers []*Customer) []credential {
	var all []credential
	for _, customer := range customers {
		for _, hexHash := range customer.KeyHashes {
			if hash, ok := parseKeyHash(hexHash); ok {
				all = append(all, credential{hash: hash, customer: customer})
			}
		}
	}
	return all
}

// parseKeyHash decodes a SHA-256 hash in hex. It returns false if the text is malformed.
func parseKeyHash(hexHash string) (hash [sha256.Size]byte, ok bool) {
	data, err := hex.DecodeString(hexHash)
	if err != nil || len(data) != len(hash) {
		return hash, false
	}
	return [sha256.Size]byte(data), true
}
