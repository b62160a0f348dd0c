package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/validation"
)

// addressUse tells whether the router listens on an address or connects to it.
type addressUse bool

const (
	listenAddress addressUse = false
	dialAddress   addressUse = true
)

var (
	// namePattern allows no slash and no bar in names, because these separate the parts of pool names and of hashed keys.
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	logLevels   = []string{"trace", "debug", "info", "warn", "error"}
)

// singleFault returns a list with one fault.
func singleFault(path, format string, args ...any) []validation.Fault {
	return []validation.Fault{validation.Newf(path, format, args...)}
}

// parseString returns the value of a JSON string; it reports false for every other JSON value, null included.
func parseString(value json.RawMessage) (string, bool) {
	var parsed string
	err := json.Unmarshal(value, &parsed)
	return parsed, err == nil && value[0] == '"'
}

// nameField returns a setting that holds a name. valuePtr returns a pointer to its value in the settings.
func nameField(name, description string, valuePtr func(*Settings) *string) Field {
	return Field{
		Name: name, Unit: "name", Description: description,
		Range: "1 to 64 of a-z, 0-9, `-` and `.`, with a letter or digit at both ends",
		set: func(s *Settings, value json.RawMessage) []validation.Fault {
			parsed, ok := parseString(value)
			if !ok || !namePattern.MatchString(parsed) {
				return singleFault(name, "must be a name of 1 to 64 characters of a-z, 0-9, - and ., not %s", validation.Abbreviate(value))
			}
			*valuePtr(s) = parsed
			return nil
		},
		get: func(s Settings) any { return *valuePtr(&s) },
	}
}

// addressField returns a setting that holds an IP address with port. An address to connect to may be neither unspecified,
// such as 0.0.0.0, nor have port 0.
func addressField(name string, use addressUse, description string, valuePtr func(*Settings) *netip.AddrPort) Field {
	accepted := "port 0 lets the kernel choose"
	if use == dialAddress {
		accepted = "a specified address, port 1 to 65535"
	}
	return Field{
		Name: name, Unit: "IP address with port", Range: accepted, Description: description,
		set: func(s *Settings, value json.RawMessage) []validation.Fault {
			text, ok := parseString(value)
			parsed, err := netip.ParseAddrPort(text)
			if !ok || err != nil {
				return singleFault(name, "must be an IP address with port, such as \"127.0.0.1:8080\", not %s", validation.Abbreviate(value))
			}
			if use == dialAddress && (parsed.Port() == 0 || parsed.Addr().IsUnspecified()) {
				return singleFault(name, "must be an address to connect to, with a port from 1 to 65535, not %s", validation.Abbreviate(value))
			}
			*valuePtr(s) = parsed
			return nil
		},
		get: func(s Settings) any { return valuePtr(&s).String() },
	}
}

// hashListField returns a setting that holds a list of distinct SHA-256 hashes. It reports every bad element.
func hashListField(name, description string, valuePtr func(*Settings) *[]string) Field {
	return Field{
		Name: name, Unit: "SHA-256 in lower-case hex", Range: "64 digits each, no hash twice", Description: description,
		set: func(s *Settings, value json.RawMessage) []validation.Fault {
			var elements []json.RawMessage
			if err := json.Unmarshal(value, &elements); err != nil || value[0] != '[' {
				return singleFault(name, "must be a list of hashes, not %s", validation.Abbreviate(value))
			}
			var faults []validation.Fault
			parsed := make([]string, 0, len(elements))
			for i, element := range elements {
				path := name + "[" + strconv.Itoa(i) + "]"
				hash, ok := parseString(element)
				switch {
				case !ok || !hashPattern.MatchString(hash):
					faults = append(faults, singleFault(path, "must be a SHA-256 hash of 64 lower-case hex digits")...)
				case slices.Contains(parsed, hash):
					faults = append(faults, singleFault(path, "is a duplicate of an earlier hash")...)
				}
				parsed = append(parsed, hash)
			}
			*valuePtr(s) = parsed
			return faults
		},
		get: func(s Settings) any { return append([]string{}, *valuePtr(&s)...) },
	}
}

// durationField returns a setting that holds a duration from low to high, both included, in whole milliseconds.
func durationField(name string, low, high time.Duration, description string, valuePtr func(*Settings) *time.Duration) Field {
	return numberField(name, "milliseconds", time.Millisecond, low.Milliseconds(), high.Milliseconds(), description, valuePtr)
}

// numberField returns a setting that holds a whole number from low to high, both included. The setting counts units; the
// Go value is that number times factor. The unit "none" stands for a number without unit.
func numberField[T ~int64 | ~uint64](
	name, unit string, factor T, low, high int64, description string, valuePtr func(*Settings) *T,
) Field {
	ofUnit, unitSuffix := " of "+unit, " "+unit
	if unit == "none" {
		ofUnit, unitSuffix = "", ""
	}
	return Field{
		Name: name, Unit: unit, Range: fmt.Sprintf("%d to %d", low, high), Description: description,
		set: func(s *Settings, value json.RawMessage) []validation.Fault {
			parsed, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil {
				return singleFault(name, "must be a whole number%s from %d to %d, not %s", ofUnit, low, high, validation.Abbreviate(value))
			}
			if parsed < low || parsed > high {
				return singleFault(name, "must be from %d to %d%s, not %d", low, high, unitSuffix, parsed)
			}
			*valuePtr(s) = T(parsed) * factor
			return nil
		},
		get: func(s Settings) any { return *valuePtr(&s) / factor },
	}
}

// logLevelField returns a setting that holds a log level.
func logLevelField(name, description string, valuePtr func(*Settings) *zerolog.Level) Field {
	return Field{
		Name: name, Unit: "level", Range: "trace, debug, info, warn, error", Description: description,
		set: func(s *Settings, value json.RawMessage) []validation.Fault {
			text, ok := parseString(value)
			parsed, err := zerolog.ParseLevel(text)
			if !ok || err != nil || !slices.Contains(logLevels, text) {
				return singleFault(name, "must be one of trace, debug, info, warn, error, not %s", validation.Abbreviate(value))
			}
			*valuePtr(s) = parsed
			return nil
		},
		get: func(s Settings) any { return valuePtr(&s).String() },
	}
}
