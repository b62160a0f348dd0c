package cmd

import (
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/fault"
	"github.com/chicorydale/chicorydale/internal/oas"
)

// changeFields are the fields of a change.
var changeFields = []string{
	"id", "base", "author", "put_templates", "put_customers", "put_services",
	"delete_templates", "delete_customers", "delete_services",
}

// required maps lists to the field that each element must have although the rules allow it to be empty.
var required = map[string]string{"put_templates": "classes", "put_services": "operations"}

// parseChange reads a change by the rules of the routers. An error is a *fault.Error with the faults that can be seen
// without a router.
func parseChange(data []byte) (*oas.Change, error) {
	members, wrong := fault.SplitObject(data)
	if wrong != nil {
		return nil, fault.Join([]fault.Fault{*wrong})
	}
	faults := append(fault.DuplicateNames("", data), missing(members)...)
	if found, decoded := ruleFaults(data); decoded {
		faults = append(faults, found...)
	} else {
		faults = append(faults, pieceFaults(members)...)
	}
	if len(faults) > 0 {
		return nil, fault.Join(distinct(faults))
	}
	change := &oas.Change{}
	if err := change.UnmarshalJSON(data); err != nil {
		return nil, fault.Join([]fault.Fault{fault.Newf("", "%v", err)})
	}
	return change, nil
}

// missing returns the faults of required fields that are not given; the rules cannot tell them from zero.
func missing(members []fault.Member) []fault.Fault {
	var faults []fault.Fault
	for _, name := range []string{"id", "base"} {
		if !slices.ContainsFunc(members, func(m fault.Member) bool { return m.Name == name }) {
			faults = append(faults, fault.Newf(name, "is missing"))
		}
	}
	for _, member := range members {
		var elements []map[string]json.RawMessage
		name, listed := required[member.Name]
		if !listed || json.Unmarshal(member.Value, &elements) != nil {
			continue
		}
		for i, element := range elements {
			if _, found := element[name]; !found {
				path := member.Name + "[" + strconv.Itoa(i) + "]." + name
				faults = append(faults, fault.Newf(path, "is missing"))
			}
		}
	}
	return faults
}

// ruleFaults returns the faults that the routers would find, and whether the change could be decoded.
func ruleFaults(data []byte) (faults []fault.Fault, decoded bool) {
	change, err := config.DecodeChange(data)
	decoded = err == nil
	if decoded {
		base := assumed(change)
		change.Base = base.Version()
		_, err = base.WithChange(change)
	}
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		for _, found := range invalid.Faults {
			faults = append(faults, fault.Newf(found.Path, "%s", found.Message))
		}
	}
	return faults, decoded
}

// assumed returns the smallest state that has all to which a change refers.
func assumed(change config.Change) config.State {
	var state config.State
	for _, customer := range change.PutCustomers {
		state = state.WithTemplate(config.Template{Name: customer.Template})
	}
	for _, name := range change.DeleteTemplates {
		state = state.WithTemplate(config.Template{Name: name})
	}
	for _, name := range change.DeleteCustomers {
		state = state.WithCustomer(config.Customer{Name: name})
	}
	for _, name := range change.DeleteServices {
		state = state.WithService(config.Service{Name: name})
	}
	return state
}

// pieceFaults returns the faults of each field and list element by itself, so that one that cannot be decoded does not
// hide the faults of others.
func pieceFaults(members []fault.Member) []fault.Fault {
	var faults []fault.Fault
	for _, member := range members {
		var elements []json.RawMessage
		if json.Unmarshal(member.Value, &elements) != nil || len(elements) == 0 {
			faults = append(faults, pieceFault(member.Name, member.Value)...)
			continue
		}
		for i, element := range elements {
			list := slices.Concat([]byte("["), element, []byte("]"))
			for _, found := range pieceFault(member.Name, list) {
				rest := strings.TrimPrefix(strings.TrimPrefix(found.Path, member.Name), "[0]")
				found.Path = member.Name + "[" + strconv.Itoa(i) + "]" + rest
				faults = append(faults, found)
			}
		}
	}
	return faults
}

// pieceFault returns the faults of a change that has only one field besides the required ones.
func pieceFault(name string, value json.RawMessage) []fault.Fault {
	piece := map[string]json.RawMessage{"id": json.RawMessage(`"id"`), "base": json.RawMessage(`0`)}
	piece[name] = value
	data, err := json.Marshal(piece)
	if err != nil {
		return []fault.Fault{fault.Newf(name, "%v", err)}
	}
	faults, _ := ruleFaults(data)
	return faults
}

// distinct returns the first fault of each field.
func distinct(faults []fault.Fault) []fault.Fault {
	seen := make(map[string]bool)
	return slices.DeleteFunc(faults, func(f fault.Fault) bool {
		again := seen[f.Path]
		seen[f.Path] = true
		return again
	})
}
