package cmd

import (
	"encoding/json"
	"errors"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/ogen-go/ogen/validate"

	"github.com/chicorydale/chicorydale/internal/fault"
	"github.com/chicorydale/chicorydale/internal/oas"
)

// changeFields are the fields of a change.
var changeFields = []string{
	"id", "base", "author", "put_templates", "put_customers", "put_services",
	"delete_templates", "delete_customers", "delete_services",
}

var (
	hashPattern    = regexp.MustCompile(`^[0-9a-f]{64}$`)
	fieldPattern   = regexp.MustCompile(`decode field "([^"]*)"`)
	unknownPattern = regexp.MustCompile(`unexpected field "([^"]*)"`)
)

// parseChange reads a change strictly. An error is a *fault.Error with the faults that can be seen without a router.
func parseChange(data []byte) (*oas.Change, error) {
	members, wrong := fault.Split(data)
	if wrong != nil {
		return nil, fault.Join([]fault.Fault{*wrong})
	}
	faults := fault.Repeated("", data)
	rest := make(map[string]json.RawMessage)
	lists := make(map[string][]string)
	for _, member := range members {
		var names []string
		var found []fault.Fault
		switch member.Name {
		case "put_templates":
			names, found = elements[oas.Template](member)
		case "put_customers":
			names, found = elements[oas.Customer](member)
		case "put_services":
			names, found = elements[oas.Service](member)
		case "delete_templates", "delete_customers", "delete_services":
			if json.Unmarshal(member.Value, &names) != nil {
				found = []fault.Fault{fault.New(member.Name, "must be a list of names, not %s", fault.Brief(member.Value))}
			}
		default:
			rest[member.Name] = member.Value
		}
		lists[member.Name] = names
		faults = append(faults, found...)
	}
	faults = append(faults, headFaults(rest)...)
	faults = append(faults, nameFaults(members, lists)...)
	if len(faults) > 0 {
		return nil, fault.Join(faults)
	}
	change := &oas.Change{}
	if err := change.UnmarshalJSON(data); err != nil {
		return nil, fault.Join(apiFaults("", err))
	}
	return change, fault.Join(append(apiFaults("", change.Validate()), hashFaults(change)...))
}

// entity is an element of a change that the interface's generated code reads and checks.
type entity[T any] interface {
	*T
	json.Unmarshaler
	GetName() string
	Validate() error
}

// elements reads a list of elements and returns their names and faults.
func elements[T any, P entity[T]](member fault.Member) ([]string, []fault.Fault) {
	var values []json.RawMessage
	if json.Unmarshal(member.Value, &values) != nil {
		return nil, []fault.Fault{fault.New(member.Name, "must be a list, not %s", fault.Brief(member.Value))}
	}
	var faults []fault.Fault
	names := make([]string, 0, len(values))
	for i, value := range values {
		path := member.Name + "[" + strconv.Itoa(i) + "]"
		element := P(new(T))
		err := element.UnmarshalJSON(value)
		if err == nil {
			err = element.Validate()
		}
		faults = append(faults, apiFaults(path, err)...)
		names = append(names, element.GetName())
	}
	return names, faults
}

// headFaults returns the faults of the fields that are no lists.
func headFaults(rest map[string]json.RawMessage) []fault.Fault {
	var faults []fault.Fault
	for _, name := range []string{"id", "base"} {
		if _, found := rest[name]; !found {
			faults = append(faults, fault.New(name, "is missing"))
		}
	}
	// Each field is read beside valid ones, so that a fault of one does not hide those of another.
	for _, name := range slices.Sorted(maps.Keys(rest)) {
		head := map[string]json.RawMessage{"id": json.RawMessage(`"id"`), "base": json.RawMessage(`0`)}
		head[name] = rest[name]
		text, err := json.Marshal(head)
		change := oas.Change{}
		if err == nil {
			err = change.UnmarshalJSON(text)
		}
		if err == nil {
			err = change.Validate()
		}
		faults = append(faults, apiFaults("", err)...)
	}
	return faults
}

// nameFaults returns the faults of names that a change has twice.
func nameFaults(members []fault.Member, lists map[string][]string) []fault.Fault {
	var faults []fault.Fault
	for _, member := range members {
		names := lists[member.Name]
		for i, name := range names {
			path := member.Name + "[" + strconv.Itoa(i) + "]"
			if name != "" && slices.Contains(names[:i], name) {
				faults = append(faults, fault.New(path, "has the name %q of an earlier element", name))
			}
			kind, deletes := strings.CutPrefix(member.Name, "delete_")
			if deletes && slices.Contains(lists["put_"+kind], name) {
				faults = append(faults, fault.New(path, "deletes %q, which the same change puts", name))
			}
		}
	}
	return faults
}

// hashFaults returns the faults of the customers' key hashes.
func hashFaults(change *oas.Change) []fault.Fault {
	var faults []fault.Fault
	owners := make(map[string]string)
	for i, customer := range change.PutCustomers {
		for j, hash := range customer.KeyHashes {
			path := "put_customers[" + strconv.Itoa(i) + "].key_hashes[" + strconv.Itoa(j) + "]"
			owner, used := owners[hash]
			switch {
			case !hashPattern.MatchString(hash):
				faults = append(faults, fault.New(path, "must be a SHA-256 hash of 64 lower-case hex digits"))
			case used:
				faults = append(faults, fault.New(path, "is already a hash of customer %q", owner))
			}
			owners[hash] = customer.Name
		}
	}
	return faults
}

// apiFaults returns the faults of an error of the generated code, with the paths of the fields.
func apiFaults(path string, err error) []fault.Fault {
	if err == nil {
		return nil
	}
	text := err.Error()
	for _, field := range fieldPattern.FindAllStringSubmatch(text, -1) {
		path = fault.Path(path, field[1])
	}
	if unknown := unknownPattern.FindStringSubmatch(text); unknown != nil {
		return []fault.Fault{fault.New(fault.Path(path, unknown[1]), "is not a field")}
	}
	var invalid *validate.Error
	switch {
	case errors.As(err, &invalid):
		var faults []fault.Fault
		for _, field := range invalid.Fields {
			faults = append(faults, apiFaults(fault.Path(path, field.Name), field.Error)...)
		}
		return faults
	case errors.Is(err, validate.ErrFieldRequired):
		return []fault.Fault{fault.New(path, "is missing")}
	case strings.Contains(text, "decode "):
		return []fault.Fault{fault.New(path, "has a value of the wrong type")}
	default:
		return []fault.Fault{fault.New(path, "%s", text)}
	}
}
