package config

import (
	"fmt"
	"maps"
	"slices"
	"unicode/utf8"
)

// Bounds of the fields, the same as in the HTTP API. Names are counted in characters.
const (
	maxWeight          = 1000
	maxNameLength      = 64
	maxClassNameLength = 32
)

// validate returns an error if a change must not be applied to this state: a *RepeatedError, a *StaleError or an
// *InvalidError. References to other entries are checked only if the change is based on this version, since they may be
// valid in another state.
func (s State) validate(change Change) error {
	var faults faultList
	if accepted, known := s.AcceptedChange(change.ID); known {
		if accepted.Hash == change.hash() {
			return &RepeatedError{Version: accepted.Version}
		}
		faults.add("id", "is the id of another change, accepted as version %d", accepted.Version)
	}
	change.validate(&faults)
	if change.Base != s.version {
		if err := faults.err(); err != nil {
			return err
		}
		return &StaleError{Base: change.Base, Version: s.version}
	}
	s.checkDeletes(change, &faults)
	s.checkTemplateRefs(change, &faults)
	s.checkKeyHashes(change, &faults)
	return faults.err()
}

// validate adds the faults that a change has in any state, those that do not depend on other entries.
func (c Change) validate(faults *faultList) {
	checkName("id", c.ID, maxNameLength, faults)
	if c.Author != "" {
		checkName("author", c.Author, maxNameLength, faults)
	}
	for i, template := range c.PutTemplates {
		template.validate(fmt.Sprintf("put_templates[%d]", i), faults)
	}
	for i, customer := range c.PutCustomers {
		customer.validate(fmt.Sprintf("put_customers[%d]", i), faults)
	}
	for i, service := range c.PutServices {
		service.validate(fmt.Sprintf("put_services[%d]", i), faults)
	}
	checkUnique("templates", cloneAll(c.PutTemplates, Template.clone), c.DeleteTemplates, faults)
	checkUnique("customers", cloneAll(c.PutCustomers, Customer.clone), c.DeleteCustomers, faults)
	checkUnique("services", cloneAll(c.PutServices, Service.clone), c.DeleteServices, faults)
}

// validate adds the faults of a template at the given path.
func (t Template) validate(path string, faults *faultList) {
	checkName(path+".name", t.Name, maxNameLength, faults)
	if t.Weight < 1 || t.Weight > maxWeight {
		faults.add(path+".weight", "is %d, it must be 1 to %d", t.Weight, maxWeight)
	}
	for _, name := range slices.Sorted(maps.Keys(t.Classes)) {
		class, classPath := t.Classes[name], path+".classes."+name
		checkName(classPath, name, maxClassNameLength, faults)
		if class.PatienceMs < 1 {
			faults.add(classPath+".patience_ms", "is %d, it must be at least 1", class.PatienceMs)
		}
		checkLimit(classPath+".estimate", class.Estimate, faults)
	}
	t.Limits.validate(path+".limits", faults)
}

// validate adds the faults of a customer at the given path.
func (c Customer) validate(path string, faults *faultList) {
	checkName(path+".name", c.Name, maxNameLength, faults)
	checkName(path+".template", c.Template, maxNameLength, faults)
	if c.Weight < 0 || c.Weight > maxWeight {
		faults.add(path+".weight", "is %d, it must be 1 to %d", c.Weight, maxWeight)
	}
	c.Limits.validate(path+".limits", faults)
	for i, hexHash := range c.KeyHashes {
		if _, ok := parseKeyHash(hexHash); !ok {
			faults.add(fmt.Sprintf("%s.key_hashes[%d]", path, i), "is not a SHA-256 hash of 64 hex digits")
		}
	}
}

// validate adds the faults of a service at the given path.
func (s Service) validate(path string, faults *faultList) {
	checkName(path+".name", s.Name, maxNameLength, faults)
	for _, name := range slices.Sorted(maps.Keys(s.Operations)) {
		checkName(path+".operations."+name, name, maxNameLength, faults)
	}
}

// validate adds the faults of limits at the given path.
func (l Limits) validate(path string, faults *faultList) {
	checkLimit(path+".waiting", int64(l.Waiting), faults)
	checkLimit(path+".waiting_bytes", l.WaitingBytes, faults)
	checkLimit(path+".connections", int64(l.Connections), faults)
	checkLimit(path+".body_bytes", l.BodyBytes, faults)
}

// checkLimit adds a fault for a negative value. Zero is valid, it means that the limit is not set.
func checkLimit(path string, value int64, faults *faultList) {
	if value < 0 {
		faults.add(path, "is %d, it must be at least 1", value)
	}
}

// checkName adds a fault for a name that is empty, not valid UTF-8 or longer than maxLength characters.
func checkName(path, name string, maxLength int, faults *faultList) {
	switch {
	case name == "":
		faults.add(path, "is empty")
	case !utf8.ValidString(name):
		faults.add(path, "is not valid UTF-8")
	case utf8.RuneCountInString(name) > maxLength:
		faults.add(path, "has more than %d characters", maxLength)
	}
}

// checkUnique adds a fault for each name of a put or delete that the change has already used for the same kind of entry.
func checkUnique[E namedEntry](kind string, puts []E, deletes []string, faults *faultList) {
	seen := make(map[string]bool, len(puts)+len(deletes))
	checkUnused := func(path, name string) {
		if seen[name] {
			faults.add(path, "is a duplicate of %q in the same change", name)
		}
		seen[name] = true
	}
	for i, entry := range puts {
		checkUnused(fmt.Sprintf("put_%s[%d].name", kind, i), entry.entryName())
	}
	for i, name := range deletes {
		checkUnused(fmt.Sprintf("delete_%s[%d]", kind, i), name)
	}
}

// checkDeletes adds a fault for each deleted entry that does not exist, and for each deleted template that is used by a
// customer that the change leaves as it is.
func (s State) checkDeletes(change Change, faults *faultList) {
	checkExist("delete_templates", s.templates, change.DeleteTemplates, faults)
	checkExist("delete_customers", s.customers, change.DeleteCustomers, faults)
	checkExist("delete_services", s.services, change.DeleteServices, faults)
	if len(change.DeleteTemplates) == 0 {
		return
	}
	changedCustomers := nameSet(cloneAll(change.PutCustomers, Customer.clone), change.DeleteCustomers)
	for i, name := range change.DeleteTemplates {
		for _, customer := range s.customers {
			if customer.Template == name && !changedCustomers[customer.Name] {
				faults.add(fmt.Sprintf("delete_templates[%d]", i), "is used by customer %q", customer.Name)
				break
			}
		}
	}
}

// checkExist adds a fault for each deleted name that has no entry.
func checkExist[E namedEntry](field string, entries []E, deletes []string, faults *faultList) {
	for i, name := range deletes {
		if _, exists := findByName(entries, name); !exists {
			faults.add(fmt.Sprintf("%s[%d]", field, i), "is unknown")
		}
	}
}

// checkTemplateRefs adds a fault for each put customer whose template does not exist after the change.
func (s State) checkTemplateRefs(change Change, faults *faultList) {
	putTemplates := nameSet(cloneAll(change.PutTemplates, Template.clone), nil)
	for i, customer := range change.PutCustomers {
		_, exists := findByName(s.templates, customer.Template)
		exists = exists && !slices.Contains(change.DeleteTemplates, customer.Template)
		if !exists && !putTemplates[customer.Template] && customer.Template != "" {
			faults.add(fmt.Sprintf("put_customers[%d].template", i), "is unknown")
		}
	}
}

// checkKeyHashes adds a fault for each key hash that occurs twice in the change, or that belongs to a customer that the
// change leaves as it is.
func (s State) checkKeyHashes(change Change, faults *faultList) {
	changedCustomers := nameSet(cloneAll(change.PutCustomers, Customer.clone), change.DeleteCustomers)
	seen := make(map[[32]byte]bool)
	for i, customer := range change.PutCustomers {
		for j, hexHash := range customer.KeyHashes {
			hash, ok := parseKeyHash(hexHash)
			if !ok {
				continue
			}
			owner, owned := s.customerByKeyHash(hash)
			if seen[hash] || owned && !changedCustomers[owner.Name] {
				faults.add(fmt.Sprintf("put_customers[%d].key_hashes[%d]", i, j), "is used twice")
			}
			seen[hash] = true
		}
	}
}
