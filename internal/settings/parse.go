package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/chicorydale/chicorydale/internal/fault"
)

// Load reads a settings file. A fault of its content is a *fault.Error with all faults.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file on the command line.
	if err != nil {
		return Settings{}, err
	}
	return Parse(data)
}

// Parse reads settings from JSON; a field that is not given has its default. An error is a *fault.Error with all faults.
func Parse(data []byte) (Settings, error) {
	members, wrong := fault.SplitObject(data)
	if wrong != nil {
		return Settings{}, fault.Join([]fault.Fault{*wrong})
	}
	known := make(map[string]Field)
	for _, field := range fields() {
		known[field.Name] = field
	}
	result := Default()
	var faults []fault.Fault
	seen := make(map[string]bool)
	for _, member := range members {
		field, found := known[member.Name]
		switch {
		case seen[member.Name]:
			faults = append(faults, one(member.Name, "is given twice")...)
		case !found:
			faults = append(faults, one(member.Name, "is not a setting%s", hint(member.Name))...)
		default:
			faults = append(faults, field.read(&result, member.Value)...)
		}
		seen[member.Name] = true
	}
	faults = append(faults, result.conflicts()...)
	if err := fault.Join(faults); err != nil {
		return Settings{}, err
	}
	return result, nil
}

// conflicts returns the faults between fields.
func (s Settings) conflicts() []fault.Fault {
	var faults []fault.Fault
	if s.claimWindow > s.logRetention/2 {
		faults = append(faults, one("claim_window_ms", "must be at most half of log_retention_ms, %d, not %d",
			(s.logRetention/2).Milliseconds(), s.claimWindow.Milliseconds())...)
	}
	listeners := []struct {
		name    string
		address netip.AddrPort
	}{{"listen", s.listen}, {"operate", s.operate}, {"link", s.link}}
	for i, listener := range listeners {
		for _, earlier := range listeners[:i] {
			if listener.address.Port() != 0 && listener.address == earlier.address {
				faults = append(faults, one(listener.name, "has the address %s of %s", listener.address, earlier.name)...)
			}
		}
	}
	return faults
}

// hint names the field that was probably meant, with its unit.
func hint(unknown string) string {
	for _, field := range fields() {
		if stem(field.Name) == stem(unknown) && field.Unit != "name" {
			return fmt.Sprintf("; use %s (%s)", field.Name, field.Unit)
		}
	}
	return ""
}

// stem returns a field's name in lower case without its unit.
func stem(name string) string {
	name = strings.ToLower(name)
	for _, suffix := range []string{"_ms", "_s", "_us", "_seconds", "_minutes", "_bytes", "_kb", "_mb"} {
		if cut, found := strings.CutSuffix(name, suffix); found {
			return cut
		}
	}
	return name
}
