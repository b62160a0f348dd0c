package event_test

import (
	"bytes"
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/event"
)

// TestEventsMatchReferencePage guards against an event that operators cannot look up in docs/events.md, against an entry of
// that page that differs from the code, and against a number that is used twice.
func TestEventsMatchReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	qt.Assert(t, err, qt.IsNil)
	var documented [][]string
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")
		if _, err := strconv.Atoi(strings.TrimSpace(cells[0])); err != nil {
			continue
		}
		qt.Assert(t, cells, qt.HasLen, 6, qt.Commentf("%s", line))
		for i, cell := range cells {
			cells[i] = strings.TrimSpace(cell)
			qt.Assert(t, cells[i], qt.Not(qt.Equals), "", qt.Commentf("%s", line))
		}
		documented = append(documented, cells[:4])
	}
	declared := make([][]string, 0, len(event.All()))
	lastNumber := 0
	for _, e := range event.All() {
		qt.Assert(t, e.Number() > lastNumber, qt.IsTrue, qt.Commentf("%s", e.Name()))
		lastNumber = e.Number()
		fields := strings.Join(e.Fields(), ", ")
		if fields == "" {
			fields = "-"
		}
		declared = append(declared, []string{strconv.Itoa(lastNumber), e.Level().String(), e.Name(), fields})
	}
	qt.Assert(t, documented, qt.DeepEquals, declared)
}

// TestAllReturnsEveryEvent guards against an event that is declared but missing from All, which TestEventsMatchReferencePage
// would then not compare.
func TestAllReturnsEveryEvent(t *testing.T) {
	source, err := os.ReadFile("catalogue.go")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, event.All(), qt.HasLen, strings.Count(string(source), "= Event{"))
}

// TestLog guards against a log line without the number of the event, a value under the wrong field name, and an event that is
// logged below the level of the logger.
func TestLog(t *testing.T) {
	var out bytes.Buffer
	event.LogDown.Log(zerolog.New(&out), "config", errors.New("no answer"), 3)
	event.Refused.Log(zerolog.New(&out).Level(zerolog.InfoLevel), "malformed")
	qt.Assert(t, out.String(), qt.Equals,
		`{"level":"warn","event":301,"stream":"config","error":"no answer","extra":3,"message":"log_down"}`+"\n")
}
