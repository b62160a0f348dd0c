package cmd

import (
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/validation"
)

// changeFields are the names of the top-level fields of a change file.
var changeFields = []string{
	"id", "base", "author", "put_templates", "put_customers", "put_services",
	"delete_templates", "delete_customers", "delete_services",
}

// requiredElementFields maps the name of a list to the field that each of its elements must contain. The validation of
// routers cannot detect that the field is missing, because an empty value is valid.
var requiredElementFields = map[string]string{"put_templates": "classes", "put_services": "operations"}

// parseChange decodes a change and validates it as routers do. An error is a *validation.Error with all faults that can be
// found without the current configuration.
func parseChange(data []byte) (*oas.Change, error) {
	members, objectFault := validation.SplitObject(data)
	if objectFault != nil {
		return nil, validation.Join([]validation.Fault{*objectFault})
	}
	faults := append(validation.DuplicateNames("", data), missingFieldFaults(members)...)
	if invalid, decoded := validationFaults(data); decoded {
		faults = append(faults, invalid...)
	} else {
		faults = append(faults, faultsPerMember(members)...)
	}
	if len(faults) > 0 {
		return nil, validation.Join(firstFaultPerPath(faults))
	}
	change := &oas.Change{}
	if err := change.UnmarshalJSON(data); err != nil {
		return nil, validation.Join([]validation.Fault{validation.Newf("", "%v", err)})
	}
	return change, nil
}

// missingFieldFaults returns a fault for each required field that is missing. The validation of routers cannot detect
// these, because it cannot tell a missing field from a zero value.
func missingFieldFaults(members []validation.Member) []validation.Fault {
	var faults []validation.Fault
	for _, field := range []string{"id", "base"} {
		if !slices.ContainsFunc(members, func(m validation.Member) bool { return m.Name == field }) {
			faults = append(faults, validation.Newf(field, "is missing"))
		}
	}
	for _, member := range members {
		var elements []map[string]json.RawMessage
		field, hasRequired := requiredElementFields[member.Name]
		if !hasRequired || json.Unmarshal(member.Value, &elements) != nil {
			continue
		}
		for i, element := range elements {
			if _, present := element[field]; !present {
				path := member.Name + "[" + strconv.Itoa(i) + "]." + field
				faults = append(faults, validation.Newf(path, "is missing"))
			}
		}
	}
	return faults
}

// validationFaults returns the faults that routers would find in a change, and whether it could be decoded. It validates
// the change against an assumed base state, so that names which only the current configuration knows cause no faults.
func validationFaults(data []byte) (faults []validation.Fault, decoded bool) {
	change, err := config.DecodeChange(data)
	decoded = err == nil
	if decoded {
		base := assumedBaseState(change)
		change.Base = base.Version()
		_, err = base.WithChange(change)
	}
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		for _, configFault := range invalid.Faults {
			faults = append(faults, validation.Newf(configFault.Path, "%s", configFault.Message))
		}
	}
	return faults, decoded
}

// assumedBaseState returns the smallest configuration that contains everything a change refers to.
func assumedBaseState(change config.Change) config.State {
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

// faultsPerMember validates each field and list element on its own, so that one that cannot be decoded does not hide the
// faults of others.
func faultsPerMember(members []validation.Member) []validation.Fault {
	var faults []validation.Fault
	for _, member := range members {
		var elements []json.RawMessage
		if json.Unmarshal(member.Value, &elements) != nil || len(elements) == 0 {
			faults = append(faults, memberFaults(member.Name, member.Value)...)
			continue
		}
		for i, element := range elements {
			singleElement := slices.Concat([]byte("["), element, []byte("]"))
			for _, memberFault := range memberFaults(member.Name, singleElement) {
				suffix := strings.TrimPrefix(strings.TrimPrefix(memberFault.Path, member.Name), "[0]")
				memberFault.Path = member.Name + "[" + strconv.Itoa(i) + "]" + suffix
				faults = append(faults, memberFault)
			}
		}
	}
	return faults
}

// memberFaults returns the faults of a change that consists of the required fields and the given one.
func memberFaults(name string, value json.RawMessage) []validation.Fault {
	minimalChange := map[string]json.RawMessage{"id": json.RawMessage(`"id"`), "base": json.RawMessage(`0`)}
	minimalChange[name] = value
	data, err := json.Marshal(minimalChange)
	if err != nil {
		return []validation.Fault{validation.Newf(name, "%v", err)}
	}
	faults, _ := validationFaults(data)
	return faults
}

// firstFaultPerPath keeps the first fault of each path and removes the others. It modifies faults.
func firstFaultPerPath(faults []validation.Fault) []validation.Fault {
	seen := make(map[string]bool)
	return slices.DeleteFunc(faults, func(f validation.Fault) bool {
		repeated := seen[f.Path]
		seen[f.Path] = true
		return repeated
	})
}
