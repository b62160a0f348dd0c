package e2e_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
)

// output stores the standard output and standard error of a process. It is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(text []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(text)
}

// String returns everything that the process has written so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// findLine returns the fields of the first complete JSON line in which field has the given value, or nil if there is none.
func (o *output) findLine(field string, value any) map[string]any {
	for line := range strings.Lines(o.String()) {
		var fields map[string]any
		if strings.HasSuffix(line, "\n") && json.Unmarshal([]byte(line), &fields) == nil && fields[field] == value {
			return fields
		}
	}
	return nil
}

// lastLines returns up to count lines from the end of the output.
func (o *output) lastLines(count int) string {
	lines := strings.Split(o.String(), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}
