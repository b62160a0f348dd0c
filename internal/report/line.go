package report

import (
	"bytes"
	"encoding/json"

	"github.com/chicorydale/chicorydale/internal/event"
)

// line is one line of a log, as far as a report needs it.
type line struct {
	Event    int    `json:"event"`
	Customer string `json:"customer"`
	Route    string `json:"route"`
	Code     string `json:"code"`
	Reason   string `json:"reason"`
	Status   int    `json:"status"`
	Waited   int    `json:"waited_ms"`
	First    int    `json:"first_ms"`
	Expected int    `json:"expected_ms"`
	Target   *int   `json:"target_ms"`
	Count    int    `json:"count"`
}

// parse reads a line. Text before its first brace is left out, such as the name of a host that a collector adds.
func parse(text []byte) (line, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return line{}, false
	}
	var read line
	return read, json.Unmarshal(text[brace:], &read) == nil
}

// is tells whether the line logs an event.
func (l *line) is(e event.Event) bool { return l.Event == e.Number() }
