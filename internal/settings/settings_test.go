package settings_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/settings"
	"github.com/chicorydale/chicorydale/internal/validation"
)

var update = flag.Bool("update", false, "write the reference page docs/settings.md")

const keyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// TestParseReportsAllFaults guards against invalid settings that are accepted, and against a fault that hides another one.
func TestParseReportsAllFaults(t *testing.T) {
	tests := []struct {
		name, input string
		wantFaults  []string
	}{
		{"unknown field", `{"colour": 1}`, []string{"colour: is not a setting"}},
		{"name in another case", `{"Listen": "127.0.0.1:1"}`, []string{"Listen: is not a setting; use listen (IP address with port)"}},
		{"wrong unit", `{"tick_s": 1, "tick_ms": "20ms"}`, []string{
			"tick_s: is not a setting; use tick_ms (milliseconds)",
			`tick_ms: must be a whole number of milliseconds from 1 to 1000, not "20ms"`,
		}},
		{"fraction", `{"tick_ms": 1.5}`, []string{"tick_ms: must be a whole number of milliseconds from 1 to 1000, not 1.5"}},
		{"null", `{"seed": null, "host": null, "operator_hashes": null}`, []string{
			"seed: must be a whole number from 0 to 9007199254740991, not null",
			"host: must be a name of 1 to 64 characters of a-z, 0-9, - and ., not null",
			"operator_hashes: must be a list of hashes, not null",
		}},
		{"host name instead of IP address, and no port", `{"listen": "localhost:80", "log": "127.0.0.1"}`, []string{
			`listen: must be an IP address with port, such as "127.0.0.1:8080", not "localhost:80"`,
			`log: must be an IP address with port, such as "127.0.0.1:8080", not "127.0.0.1"`,
		}},
		{"address that cannot be connected to", `{"log": "0.0.0.0:80", "hosts": "127.0.0.1:0"}`, []string{
			`log: must be an address to connect to, with a port from 1 to 65535, not "0.0.0.0:80"`,
			`hosts: must be an address to connect to, with a port from 1 to 65535, not "127.0.0.1:0"`,
		}},
		{"duplicate name", `{"host": "a", "host": "b"}`, []string{"host: is given twice"}},
		{"slash in a name", `{"zone": "a/b"}`, []string{
			`zone: must be a name of 1 to 64 characters of a-z, 0-9, - and ., not "a/b"`,
		}},
		{"out of range", `{"tick_ms": 0, "body_bytes": 67108865, "drain_ms": -1}`, []string{
			"tick_ms: must be from 1 to 1000 milliseconds, not 0",
			"body_bytes: must be from 1 to 67108864 bytes, not 67108865",
			"drain_ms: must be from 0 to 86400000 milliseconds, not -1",
		}},
		{"hashes", `{"operator_hashes": ["` + keyHash + `", "x", "` + keyHash + `"]}`, []string{
			"operator_hashes[1]: must be a SHA-256 hash of 64 lower-case hex digits",
			"operator_hashes[2]: is a duplicate of an earlier hash",
		}},
		{"long value on several lines", "{\"tick_ms\": [\n" + strings.Repeat("1,", 99) + "1]}", []string{
			"tick_ms: must be a whole number of milliseconds from 1 to 1000, not [" + strings.Repeat("1,", 38) + "...",
		}},
		{"level", `{"log_level": "fatal"}`, []string{
			`log_level: must be one of trace, debug, info, warn, error, not "fatal"`,
		}},
		{"claim window over half of the log retention", `{"log_retention_ms": 7200000, "claim_window_ms": 3600001}`, []string{
			"claim_window_ms: must be at most half of log_retention_ms, 3600000, not 3600001",
		}},
		{"two settings with one address", `{"operate": "127.0.0.1:8080"}`, []string{"operate: has the address 127.0.0.1:8080 of listen"}},
		{"not an object", `[]`, []string{"must be one JSON object"}},
		{"two objects", `{} {}`, []string{"must be one JSON object with nothing after it"}},
		{"not JSON", "{\n\"host\": x}", []string{"line 2: is not JSON: invalid character 'x' looking for beginning of value"}},
		{"truncated text", "{\n\"host\": \"a\"", []string{"line 2: is not JSON: the text ends too early"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse([]byte(test.input))
			var parseErr *validation.Error
			qt.Assert(t, errors.As(err, &parseErr), qt.IsTrue)
			qt.Assert(t, strings.Split(parseErr.Error(), "\n"), qt.DeepEquals, test.wantFaults)
		})
	}
}

// TestRoundTrip guards against a setting that is marshalled, parsed or changed by a With method as another setting.
func TestRoundTrip(t *testing.T) {
	addr := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port) }
	changed := settings.Default().WithHost("h").WithLocation("r", "z").WithListenAddr(addr(1)).WithMonitoringAddr(addr(2)).
		WithLinkAddr(addr(3)).WithLogAddr(addr(4)).WithHostListAddr(addr(5)).WithOperatorHashes(keyHash).
		WithTickPeriod(6 * time.Millisecond).WithInterRegionPeriod(2 * time.Second).
		WithClaimWindow(7 * time.Second).WithLogRetention(20 * time.Second).WithDrainTimeout(8 * time.Second).WithMaxBodyBytes(9).
		WithLogLevel(-1).WithSeed(10)
	data, err := json.Marshal(changed)
	qt.Assert(t, err, qt.IsNil)
	read, err := settings.Parse(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fmt.Sprintf("%+v", read), qt.Equals, fmt.Sprintf("%+v", changed))
	qt.Assert(t, string(data), qt.Equals, `{"body_bytes":9,"claim_window_ms":7000,"drain_ms":8000,"far_ms":2000,"host":"h",`+
		`"hosts":"10.0.0.1:5","link":"10.0.0.1:3","listen":"10.0.0.1:1","log":"10.0.0.1:4","log_level":"trace",`+
		`"log_retention_ms":20000,"operate":"10.0.0.1:2","operator_hashes":["`+keyHash+`"],"region":"r","seed":10,`+
		`"tick_ms":6,"zone":"z"}`)
}

// TestOperatorHashesAreCopied guards against settings that share the slice of hashes with a caller, who could change them.
func TestOperatorHashesAreCopied(t *testing.T) {
	hashes := []string{keyHash}
	value := settings.Default().WithOperatorHashes(hashes...)
	hashes[0] = "changed"
	value.OperatorHashes()[0] = "changed"
	qt.Assert(t, value.OperatorHashes(), qt.DeepEquals, []string{keyHash})
}

// TestDefaultsAreValid guards against default settings that validation rejects.
func TestDefaultsAreValid(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	qt.Assert(t, os.WriteFile(path, []byte("{}"), 0o600), qt.IsNil)
	read, err := settings.Load(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fmt.Sprintf("%+v", read), qt.Equals, fmt.Sprintf("%+v", settings.Default()))
}

// TestReferencePage guards against a reference page that differs from the code. With -update it writes the page.
func TestReferencePage(t *testing.T) {
	const path = "../../docs/settings.md"
	var page strings.Builder
	page.WriteString("# Settings of a router\n\n" +
		"`chicorydale serve --settings FILE` reads one JSON object; every field may be left out. " +
		"`chicorydale config check FILE`\nreports all faults of a file at once, each with the path of its field. " +
		"Changed settings take effect at the next start.\n\n" +
		"This page is written by `go test ./internal/settings -update`.\n\n" +
		"| field | unit or form | default | accepted | meaning |\n|---|---|---|---|---|\n")
	for _, field := range settings.Fields() {
		fmt.Fprintf(&page, "| `%s` | %s | `%s` | %s | %s |\n", field.Name, field.Unit, field.Default(), field.Range, field.Description)
	}
	if *update {
		qt.Assert(t, os.WriteFile(path, []byte(page.String()), 0o600), qt.IsNil)
	}
	written, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(written), qt.Equals, page.String())
}
