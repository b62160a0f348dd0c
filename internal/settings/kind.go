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

	"github.com/chicorydale/chicorydale/internal/fault"
)

// side tells whether an address is listened on or connected to.
type side bool

// Sides of an address.
const (
	local  side = false
	remote side = true
)

var (
	// namePattern keeps slashes and bars out of names, because pool names and hashed keys are joined with them.
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	levels      = []string{"trace", "debug", "info", "warn", "error"}
)

// one returns a list of one fault.
func one(path, format string, args ...any) []fault.Fault {
	return []fault.Fault{fault.Newf(path, format, args...)}
}

// text reads a JSON string.
func text(value json.RawMessage) (string, bool) {
	var read string
	err := json.Unmarshal(value, &read)
	return read, err == nil && value[0] == '"'
}

// name returns the field of a name.
func name(field, meaning string, at func(*Settings) *string) Field {
	return Field{
		Name: field, Unit: "name", Description: meaning,
		Range: "1 to 64 of a-z, 0-9, `-` and `.`, with a letter or digit at both ends",
		read: func(s *Settings, value json.RawMessage) []fault.Fault {
			read, ok := text(value)
			if !ok || !namePattern.MatchString(read) {
				return one(field, "must be a name of 1 to 64 characters of a-z, 0-9, - and ., not %s", fault.Abbreviate(value))
			}
			*at(s) = read
			return nil
		},
		value: func(s Settings) any { return *at(&s) },
	}
}

// address returns the field of an IP address with port.
func address(field string, where side, meaning string, at func(*Settings) *netip.AddrPort) Field {
	limits := "port 0 lets the kernel choose"
	if where == remote {
		limits = "a specified address, port 1 to 65535"
	}
	return Field{
		Name: field, Unit: "IP address with port", Range: limits, Description: meaning,
		read: func(s *Settings, value json.RawMessage) []fault.Fault {
			read, ok := text(value)
			parsed, err := netip.ParseAddrPort(read)
			if !ok || err != nil {
				return one(field, "must be an IP address with port, such as \"127.0.0.1:8080\", not %s", fault.Abbreviate(value))
			}
			if where == remote && (parsed.Port() == 0 || parsed.Addr().IsUnspecified()) {
				return one(field, "must be an address to connect to, with a port from 1 to 65535, not %s", fault.Abbreviate(value))
			}
			*at(s) = parsed
			return nil
		},
		value: func(s Settings) any { return at(&s).String() },
	}
}

// hashes returns the field of a list of hashes.
func hashes(field, meaning string, at func(*Settings) *[]string) Field {
	return Field{
		Name: field, Unit: "SHA-256 in lower-case hex", Range: "64 digits each, no hash twice", Description: meaning,
		read: func(s *Settings, value json.RawMessage) []fault.Fault {
			var elements []json.RawMessage
			if err := json.Unmarshal(value, &elements); err != nil || value[0] != '[' {
				return one(field, "must be a list of hashes, not %s", fault.Abbreviate(value))
			}
			var faults []fault.Fault
			read := make([]string, 0, len(elements))
			for i, element := range elements {
				path := field + "[" + strconv.Itoa(i) + "]"
				hash, ok := text(element)
				switch {
				case !ok || !hashPattern.MatchString(hash):
					faults = append(faults, one(path, "must be a SHA-256 hash of 64 lower-case hex digits")...)
				case slices.Contains(read, hash):
					faults = append(faults, one(path, "is a duplicate of an earlier hash")...)
				}
				read = append(read, hash)
			}
			*at(s) = read
			return faults
		},
		value: func(s Settings) any { return append([]string{}, *at(&s)...) },
	}
}

// period returns the field of a duration in milliseconds.
func period(field string, low, high time.Duration, meaning string, at func(*Settings) *time.Duration) Field {
	return number(field, "milliseconds", time.Millisecond, low.Milliseconds(), high.Milliseconds(), meaning, at)
}

// number returns the field of a whole number of units, of which each is factor in the value.
func number[T ~int64 | ~uint64](
	field, unit string, factor T, low, high int64, meaning string, at func(*Settings) *T,
) Field {
	of, plural := " of "+unit, " "+unit
	if unit == "none" {
		of, plural = "", ""
	}
	return Field{
		Name: field, Unit: unit, Range: fmt.Sprintf("%d to %d", low, high), Description: meaning,
		read: func(s *Settings, value json.RawMessage) []fault.Fault {
			read, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil {
				return one(field, "must be a whole number%s from %d to %d, not %s", of, low, high, fault.Abbreviate(value))
			}
			if read < low || read > high {
				return one(field, "must be from %d to %d%s, not %d", low, high, plural, read)
			}
			*at(s) = T(read) * factor
			return nil
		},
		value: func(s Settings) any { return *at(&s) / factor },
	}
}

// level returns the field of a log level.
func level(field, meaning string, at func(*Settings) *zerolog.Level) Field {
	return Field{
		Name: field, Unit: "level", Range: "trace, debug, info, warn, error", Description: meaning,
		read: func(s *Settings, value json.RawMessage) []fault.Fault {
			read, ok := text(value)
			parsed, err := zerolog.ParseLevel(read)
			if !ok || err != nil || !slices.Contains(levels, read) {
				return one(field, "must be one of trace, debug, info, warn, error, not %s", fault.Abbreviate(value))
			}
			*at(s) = parsed
			return nil
		},
		value: func(s Settings) any { return at(&s).String() },
	}
}
