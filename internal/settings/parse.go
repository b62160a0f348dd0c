package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
)

// Load reads a settings file. A fault of its content is an *Error with all faults.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file on the command line.
	if err != nil {
		return Settings{}, err
	}
	return Parse(data)
}

// Parse reads settings from JSON; a field that is not given has its default. An error is an *Error with all faults.
func Parse(data []byte) (Settings, error) {
	members, fault := split(data)
	if fault != nil {
		return Settings{}, &Error{Faults: []Fault{*fault}}
	}
	known := make(map[string]Field)
	for _, field := range fields() {
		known[field.Name] = field
	}
	result := Default()
	var faults []Fault
	seen := make(map[string]bool)
	for _, member := range members {
		field, found := known[member.name]
		switch {
		case seen[member.name]:
			faults = append(faults, one(member.name, "is given twice")...)
		case !found:
			faults = append(faults, one(member.name, "is not a setting%s", hint(member.name))...)
		default:
			faults = append(faults, field.read(&result, member.value)...)
		}
		seen[member.name] = true
	}
	faults = append(faults, result.conflicts()...)
	if len(faults) > 0 {
		return Settings{}, &Error{Faults: faults}
	}
	return result, nil
}

// conflicts returns the faults between fields.
func (s Settings) conflicts() []Fault {
	var faults []Fault
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

// member is one name and value of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// split reads the members of a JSON object in their order, repeated ones included.
func split(data []byte) ([]member, *Fault) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	opening, err := decoder.Token()
	if err != nil {
		return nil, syntax(data, decoder, err)
	}
	if opening != json.Delim('{') {
		return nil, &Fault{Problem: "settings must be one JSON object"}
	}
	var members []member
	for decoder.More() {
		var next member
		token, err := decoder.Token()
		if err != nil {
			return nil, syntax(data, decoder, err)
		}
		next.name, _ = token.(string)
		if err := decoder.Decode(&next.value); err != nil {
			return nil, syntax(data, decoder, err)
		}
		members = append(members, next)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, syntax(data, decoder, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &Fault{Problem: "settings must be one JSON object with nothing after it"}
	}
	return members, nil
}

// syntax returns the fault of text that is not JSON, with its line.
func syntax(data []byte, decoder *json.Decoder, err error) *Fault {
	offset := decoder.InputOffset()
	var wrong *json.SyntaxError
	if errors.As(err, &wrong) {
		offset = max(offset, wrong.Offset)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		offset, err = int64(len(data)), errors.New("the text ends too early")
	}
	line := 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
	return &Fault{Path: fmt.Sprintf("line %d", line), Problem: "is not JSON: " + err.Error()}
}
