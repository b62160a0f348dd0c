package router_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDeadlineDuringAnswer guards against a call that goes on, and keeps its slot, after its caller's deadline.
func TestDeadlineDuringAnswer(t *testing.T) {
	f := newFleet(t)
	f.addRouter("r1", "a")
	f.ready(0)
	f.configure()
	deadline := time.Now().Add(time.Second).UTC().Format(time.RFC3339Nano)
	response := f.open(http.MethodPost, f.urls[0]+"/v1/models/m/generate", customerKey,
		map[string]any{"class": "long", "prompt": "a long poem", "max_tokens": 100000, "deadline": deadline}, nil)
	defer response.Body.Close() //nolint:errcheck // The body is read to its end.
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	events := readEvents(t, response.Body)
	last := events[len(events)-1]
	qt.Assert(t, last.name, qt.Equals, "error")
	qt.Assert(t, strings.Contains(last.data, `"expired"`) && strings.Contains(last.data, `"unknown"`), qt.IsTrue,
		qt.Commentf("%s", last.data))
	f.eventually("slots are free again", func() bool {
		_, targets := f.do(http.MethodGet, f.urls[0]+"/v1/targets", operatorKey, nil, nil)
		return !strings.Contains(string(targets), `"running":1`)
	})
}
