package report

import (
	"bytes"
	"encoding/json"

	"github.com/chicorydale/chicorydale/internal/event"
)

// logLine holds the fields of a log line that a report uses. Target latencies are the times from the scheduling decision
// to the first byte; TargetLatencyMS is nil if the line has no such field.
type logLine struct {
	Event                   int    `json:"event"`
	Customer                string `json:"customer"`
	Route                   string `json:"route"`
	Code                    string `json:"code"`
	Reason                  string `json:"reason"`
	Status                  int    `json:"status"`
	QueueTimeMS             int    `json:"waited_ms"`
	TimeToFirstByteMS       int    `json:"first_ms"`
	ExpectedTargetLatencyMS int    `json:"expected_ms"`
	TargetLatencyMS         *int   `json:"target_ms"`
	Count                   int    `json:"count"`
	Target                  string `json:"target"`
	PauseMS                 int    `json:"pause_ms"`
}

// parseLine decodes a log line and reports whether it is valid. It ignores text before the first brace, such as the host
// name that a log collector adds.
func parseLine(text []byte) (logLine, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return logLine{}, false
	}
	var parsed logLine
	return parsed, json.Unmarshal(text[brace:], &parsed) == nil
}

// isEvent reports whether the line logs the given event.
func (l *logLine) isEvent(e event.Event) bool { return l.Event == e.Number() }
