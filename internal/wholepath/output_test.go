package wholepath_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
)

// output keeps what a process writes.
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

// String returns everything that was written.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// find returns the fields of the first whole JSON line that has a field.
func (o *output) find(field string, value any) map[string]any {
	for line := range strings.Lines(o.String()) {
		var fields map[string]any
		if strings.HasSuffix(line, "\n") && json.Unmarshal([]byte(line), &fields) == nil && fields[field] == value {
			return fields
		}
	}
	return nil
}

// tail returns the last lines.
func (o *output) tail(count int) string {
	lines := strings.Split(o.String(), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}
