package router_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/timerlag"
)

// TestDeadlineDuringAnswer guards against a call that continues and occupies its slot after the caller's deadline has passed
// during the answer.
func TestDeadlineDuringAnswer(t *testing.T) {
	t.Parallel()
	timerlag.Log(t)
	f := newFleet(t)
	f.addRouter("r1", "a")
	f.waitReady(0)
	f.configure()
	deadline := time.Now().Add(3 * time.Second).UTC().Format(time.RFC3339Nano)
	response := f.sendRequest(http.MethodPost, f.apiURLs[0]+"/v1/models/m/generate", customerKey,
		map[string]any{"class": "long", "prompt": "a long poem", "max_tokens": 100000, "deadline": deadline}, nil)
	defer response.Body.Close() //nolint:errcheck // The body is read to its end.
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	events := readEvents(t, response.Body)
	last := events[len(events)-1]
	qt.Assert(t, last.name, qt.Equals, "error")
	qt.Assert(t, strings.Contains(last.data, `"expired"`) && strings.Contains(last.data, `"unknown"`), qt.IsTrue,
		qt.Commentf("%s", last.data))
	f.eventually("no running request at any target", func() bool {
		_, targets := f.request(http.MethodGet, f.apiURLs[0]+"/v1/targets", operatorKey, nil, nil)
		return !strings.Contains(string(targets), `"running":1`)
	})
}

// TestDeadlineBeforeAnswer guards against a deadline that passes while a slow target has not begun to answer and that is
// taken for a crash of the target. After a second crash the request would be quarantined.
func TestDeadlineBeforeAnswer(t *testing.T) {
	t.Parallel()
	timerlag.Log(t)
	f := newFleet(t)
	f.addRouter("r1", "a")
	f.waitReady(0)
	f.configure()
	call := map[string]any{"class": "quick", "prompt": "a slow line", "max_tokens": 4}
	status, body := f.request(http.MethodPost, f.apiURLs[0]+"/v1/models/m/generate", customerKey, call, nil)
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	for _, engine := range f.engines {
		engine.Faults.Set(fault.Fault{DelayMS: 5000})
	}
	for range 3 {
		call["deadline"] = time.Now().Add(1500 * time.Millisecond).UTC().Format(time.RFC3339Nano)
		start := time.Now()
		status, body := f.request(http.MethodPost, f.apiURLs[0]+"/v1/models/m/generate", customerKey, call, nil)
		qt.Assert(t, status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", body))
		took := time.Since(start)
		qt.Assert(t, took < 3*time.Second, qt.IsTrue, qt.Commentf("the refusal took %v", took))
		qt.Assert(t, strings.Contains(string(body), `"ran":"unknown"`), qt.IsTrue, qt.Commentf("%s", body))
	}
	for _, engine := range f.engines {
		engine.Faults.Set(fault.Fault{})
	}
	delete(call, "deadline")
	status, body = f.request(http.MethodPost, f.apiURLs[0]+"/v1/models/m/generate", customerKey, call, nil)
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	qt.Assert(t, strings.Contains(f.metrics(0), "chicorydale_retries_total{reason=\"crashed\"} 0\n"), qt.IsTrue)
}

// TestDeadlineOfIdempotentOperation guards against a refusal that says that an idempotent operation did not run although its
// deadline passed after the call was sent to a replica.
func TestDeadlineOfIdempotentOperation(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRouter("r1", "a")
	f.waitReady(0)
	f.configure()
	callStock := func(body map[string]any) (int, string) {
		status, answer := f.request(http.MethodPost, f.apiURLs[0]+"/v1/services/shop/stock", customerKey, body, nil)
		return status, string(answer)
	}
	status, answer := callStock(map[string]any{})
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
	f.service.Faults.Set(fault.Fault{DelayMS: 5000})
	deadline := time.Now().Add(1500 * time.Millisecond).UTC().Format(time.RFC3339Nano)
	status, answer = callStock(map[string]any{"deadline": deadline})
	qt.Assert(t, status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", answer))
	qt.Assert(t, strings.Contains(answer, `"ran":"unknown"`), qt.IsTrue, qt.Commentf("%s", answer))
	f.service.Faults.Set(fault.Fault{})
}
