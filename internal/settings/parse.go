package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/chicorydale/chicorydale/internal/validation"
)

// Load reads the settings from a JSON file. If the content is invalid, the error is a *validation.Error with all faults.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file on the command line.
	if err != nil {
		return Settings{}, err
	}
	return Parse(data)
}

// Parse reads settings from JSON; a setting that is not given keeps its default. If the JSON is invalid, the error is a
// *validation.Error with all faults.
func Parse(data []byte) (Settings, error) {
	members, syntaxFault := validation.SplitObject(data)
	if syntaxFault != nil {
		return Settings{}, validation.Join([]validation.Fault{*syntaxFault})
	}
	byName := make(map[string]Field)
	for _, field := range allFields() {
		byName[field.Name] = field
	}
	result := Default()
	var faults []validation.Fault
	seen := make(map[string]bool)
	for _, member := range members {
		field, found := byName[member.Name]
		switch {
		case seen[member.Name]:
			faults = append(faults, singleFault(member.Name, "is given twice")...)
		case !found:
			faults = append(faults, singleFault(member.Name, "is not a setting%s", suggestion(member.Name))...)
		default:
			faults = append(faults, field.set(&result, member.Value)...)
		}
		seen[member.Name] = true
	}
	faults = append(faults, result.conflictFaults()...)
	if err := validation.Join(faults); err != nil {
		return Settings{}, err
	}
	return result, nil
}

// conflictFaults returns the faults of settings that are valid on their own but contradict each other.
func (s Settings) conflictFaults() []validation.Fault {
	var faults []validation.Fault
	if s.claimWindow > s.logRetention/2 {
		faults = append(faults, singleFault("claim_window_ms", "must be at most half of log_retention_ms, %d, not %d",
			(s.logRetention/2).Milliseconds(), s.claimWindow.Milliseconds())...)
	}
	listeners := []struct {
		name    string
		address netip.AddrPort
	}{{"listen", s.listenAddr}, {"operate", s.monitoringAddr}, {"link", s.linkAddr}}
	for i, listener := range listeners {
		for _, earlier := range listeners[:i] {
			if listener.address.Port() != 0 && listener.address == earlier.address {
				faults = append(faults, singleFault(listener.name, "has the address %s of %s", listener.address, earlier.name)...)
			}
		}
	}
	return faults
}

// suggestion returns an addition to the fault of an unknown name: the setting with the same name in another case or with
// another unit suffix, and its unit. It is empty if there is none.
func suggestion(unbyName string) string {
	for _, field := range allFields() {
		if trimUnit(field.Name) == trimUnit(unbyName) && field.Unit != "name" {
			return fmt.Sprintf("; use %s (%s)", field.Name, field.Unit)
		}
	}
	return ""
}

// trimUnit returns the name of a setting in lower case without its unit suffix.
func trimUnit(name string) string {
	name = strings.ToLower(name)
	for _, suffix := range []string{"_ms", "_s", "_us", "_seconds", "_minutes", "_bytes", "_kb", "_mb"} {
		if trimmed, found := strings.CutSuffix(name, suffix); found {
			return trimmed
		}
	}
	return name
}
