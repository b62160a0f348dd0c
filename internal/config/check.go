package config

import (
	"fmt"
	"maps"
	"slices"
	"unicode/utf8"
)

// Bounds of the fields, the same as in the HTTP interface.
const (
	maxWeight    = 1000
	maxName      = 64
	maxClassName = 32
)

// check returns why a change must not be applied: a *RepeatedError, a *StaleError or an *InvalidError. References to
// other entries are checked only if the change builds on this state.
func (s State) check(change Change) error {
	var found faults
	if accepted, known := s.AcceptedChange(change.ID); known {
		if accepted.Hash == change.sum() {
			return &RepeatedError{Version: accepted.Version}
		}
		found.add("id", "is the id of another change, accepted as version %d", accepted.Version)
	}
	change.check(&found)
	if change.Base != s.version {
		if err := found.err(); err != nil {
			return err
		}
		return &StaleError{Base: change.Base, Version: s.version}
	}
	s.checkDeletes(change, &found)
	s.checkTemplates(change, &found)
	s.checkKeys(change, &found)
	return found.err()
}

// check adds the faults that a change has in any state.
func (c Change) check(found *faults) {
	checkName("id", c.ID, maxName, found)
	if c.Author != "" {
		checkName("author", c.Author, maxName, found)
	}
	for i, template := range c.PutTemplates {
		template.check(fmt.Sprintf("put_templates[%d]", i), found)
	}
	for i, customer := range c.PutCustomers {
		customer.check(fmt.Sprintf("put_customers[%d]", i), found)
	}
	for i, service := range c.PutServices {
		service.check(fmt.Sprintf("put_services[%d]", i), found)
	}
	checkUnique("templates", clones(c.PutTemplates, Template.clone), c.DeleteTemplates, found)
	checkUnique("customers", clones(c.PutCustomers, Customer.clone), c.DeleteCustomers, found)
	checkUnique("services", clones(c.PutServices, Service.clone), c.DeleteServices, found)
}

// check adds the faults of a template.
func (t Template) check(path string, found *faults) {
	checkName(path+".name", t.Name, maxName, found)
	if t.Weight < 1 || t.Weight > maxWeight {
		found.add(path+".weight", "is %d, it must be 1 to %d", t.Weight, maxWeight)
	}
	for _, name := range slices.Sorted(maps.Keys(t.Classes)) {
		class, at := t.Classes[name], path+".classes."+name
		checkName(at, name, maxClassName, found)
		if class.PatienceMs < 1 {
			found.add(at+".patience_ms", "is %d, it must be at least 1", class.PatienceMs)
		}
		checkLimit(at+".estimate", class.Estimate, found)
	}
	t.Limits.check(path+".limits", found)
}

// check adds the faults of a customer.
func (c Customer) check(path string, found *faults) {
	checkName(path+".name", c.Name, maxName, found)
	checkName(path+".template", c.Template, maxName, found)
	if c.Weight < 0 || c.Weight > maxWeight {
		found.add(path+".weight", "is %d, it must be 1 to %d", c.Weight, maxWeight)
	}
	c.Limits.check(path+".limits", found)
	for i, hash := range c.KeyHashes {
		if _, ok := parseHash(hash); !ok {
			found.add(fmt.Sprintf("%s.key_hashes[%d]", path, i), "is not a SHA-256 hash of 64 hex digits")
		}
	}
}

// check adds the faults of a service.
func (s Service) check(path string, found *faults) {
	checkName(path+".name", s.Name, maxName, found)
	for _, name := range slices.Sorted(maps.Keys(s.Operations)) {
		checkName(path+".operations."+name, name, maxName, found)
	}
}

// check adds the faults of limits.
func (l Limits) check(path string, found *faults) {
	checkLimit(path+".waiting", int64(l.Waiting), found)
	checkLimit(path+".waiting_bytes", l.WaitingBytes, found)
	checkLimit(path+".connections", int64(l.Connections), found)
	checkLimit(path+".body_bytes", l.BodyBytes, found)
}

// checkLimit adds a fault for a negative value; zero is not set.
func checkLimit(path string, value int64, found *faults) {
	if value < 0 {
		found.add(path, "is %d, it must be at least 1", value)
	}
}

// checkName adds a fault for a name that is empty, too long or not UTF-8.
func checkName(path, name string, longest int, found *faults) {
	switch {
	case name == "":
		found.add(path, "is empty")
	case !utf8.ValidString(name):
		found.add(path, "is not valid UTF-8")
	case utf8.RuneCountInString(name) > longest:
		found.add(path, "has more than %d characters", longest)
	}
}

// checkUnique adds a fault for each name that a change uses twice.
func checkUnique[E named](kind string, puts []E, deletes []string, found *faults) {
	seen := make(map[string]bool, len(puts)+len(deletes))
	note := func(path, name string) {
		if seen[name] {
			found.add(path, "is a duplicate of %q in the same change", name)
		}
		seen[name] = true
	}
	for i, entry := range puts {
		note(fmt.Sprintf("put_%s[%d].name", kind, i), entry.key())
	}
	for i, name := range deletes {
		note(fmt.Sprintf("delete_%s[%d]", kind, i), name)
	}
}

// checkDeletes adds a fault for each name to remove that is unknown, and for templates that are still used.
func (s State) checkDeletes(change Change, found *faults) {
	checkKnown("delete_templates", s.templates, change.DeleteTemplates, found)
	checkKnown("delete_customers", s.customers, change.DeleteCustomers, found)
	checkKnown("delete_services", s.services, change.DeleteServices, found)
	if len(change.DeleteTemplates) == 0 {
		return
	}
	touched := names(clones(change.PutCustomers, Customer.clone), change.DeleteCustomers)
	for i, name := range change.DeleteTemplates {
		for _, customer := range s.customers {
			if customer.Template == name && !touched[customer.Name] {
				found.add(fmt.Sprintf("delete_templates[%d]", i), "is used by customer %q", customer.Name)
				break
			}
		}
	}
}

// checkKnown adds a fault for each name that is not in a list.
func checkKnown[E named](field string, list []E, deletes []string, found *faults) {
	for i, name := range deletes {
		if _, known := find(list, name); !known {
			found.add(fmt.Sprintf("%s[%d]", field, i), "is unknown")
		}
	}
}

// checkTemplates adds a fault for each customer whose template does not exist after the change.
func (s State) checkTemplates(change Change, found *faults) {
	puts := names(clones(change.PutTemplates, Template.clone), nil)
	for i, customer := range change.PutCustomers {
		_, known := find(s.templates, customer.Template)
		known = known && !slices.Contains(change.DeleteTemplates, customer.Template)
		if !known && !puts[customer.Template] && customer.Template != "" {
			found.add(fmt.Sprintf("put_customers[%d].template", i), "is unknown")
		}
	}
}

// checkKeys adds a fault for each key hash that another customer has.
func (s State) checkKeys(change Change, found *faults) {
	touched := names(clones(change.PutCustomers, Customer.clone), change.DeleteCustomers)
	seen := make(map[[32]byte]bool)
	for i, customer := range change.PutCustomers {
		for j, text := range customer.KeyHashes {
			hash, ok := parseHash(text)
			if !ok {
				continue
			}
			holder, held := s.holder(hash)
			if seen[hash] || held && !touched[holder.Name] {
				found.add(fmt.Sprintf("put_customers[%d].key_hashes[%d]", i, j), "is used twice")
			}
			seen[hash] = true
		}
	}
}
