package router_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// refusalCase is a request that must be refused, with the expected status, code and whether the request ran.
type refusalCase struct {
	name    string
	method  string
	path    string
	key     string
	body    string
	headers map[string]string
	status  int
	code    refusal.Code
	ran     refusal.Execution
}

// refusalCases returns a request for each way in which the content of a request alone leads to a refusal.
func refusalCases(t *testing.T) []refusalCase {
	t.Helper()
	generate, book := "/v1/models/m/generate", "/v1/services/shop/book"
	call := `{"class":"quick","prompt":"p"}`
	keyed := map[string]string{"Idempotency-Key": newIdempotencyKey(t)}
	past := time.Now().Add(-time.Hour).UTC().Format(time.RFC3339)
	return []refusalCase{
		{"missing API key", "POST", generate, "", call, nil, 401, refusal.Unauthenticated, refusal.NotExecuted},
		{"wrong API key", "POST", generate, "nobody", call, nil, 401, refusal.Unauthenticated, refusal.NotExecuted},
		{
			"operator's call with a customer's API key", "GET", "/v1/status", customerKey, "", nil,
			403, refusal.Forbidden, refusal.NotExecuted,
		},
		{
			"operator's call with a wrong API key", "GET", "/v1/status", "nobody", "", nil,
			401, refusal.Unauthenticated, refusal.NotExecuted,
		},
		{"malformed JSON", "POST", generate, customerKey, `{"class":`, nil, 400, refusal.Malformed, refusal.NotExecuted},
		{
			"unknown field", "POST", generate, customerKey, `{"class":"quick","prompt":"p","x":1}`, nil,
			400, refusal.Malformed, refusal.NotExecuted,
		},
		{
			"body over the router's limit", "POST", generate, customerKey,
			`{"class":"quick","prompt":"` + strings.Repeat("x", 2<<20) + `"}`, nil, 413, refusal.TooLarge, refusal.NotExecuted,
		},
		{
			"body over the customer's limit", "POST", generate, customerKey,
			`{"class":"quick","prompt":"` + strings.Repeat("x", 5000) + `"}`, nil, 413, refusal.TooLarge, refusal.NotExecuted,
		},
		{
			"unknown model", "POST", "/v1/models/none/generate", customerKey, call, nil,
			404, refusal.UnknownModel, refusal.NotExecuted,
		},
		{
			"unknown class", "POST", generate, customerKey, `{"class":"none","prompt":"p"}`, nil,
			422, refusal.UnknownClass, refusal.NotExecuted,
		},
		{
			"deadline in the past", "POST", generate, customerKey, `{"class":"quick","prompt":"p","deadline":"` + past + `"}`,
			nil, 422, refusal.DeadlinePast, refusal.NotExecuted,
		},
		{"unknown stream", "GET", "/v1/streams/none", customerKey, "", nil, 404, refusal.UnknownStream, refusal.NotExecuted},
		{
			"unknown service", "POST", "/v1/services/none/book", customerKey, `{}`, nil,
			404, refusal.UnknownService, refusal.NotExecuted,
		},
		{
			"unknown operation", "POST", "/v1/services/shop/none", customerKey, `{}`, nil,
			404, refusal.UnknownOperation, refusal.NotExecuted,
		},
		{"booking without an idempotency key", "POST", book, customerKey, `{}`, nil, 400, refusal.KeyMissing, refusal.NotExecuted},
		{
			"idempotency key of another UUID version", "POST", book, customerKey, `{}`,
			map[string]string{"Idempotency-Key": "d4c1a2f0-3f53-4d3a-9c83-000000000000"},
			400, refusal.KeyInvalid, refusal.NotExecuted,
		},
		{
			"expired idempotency key", "POST", book, customerKey, `{}`,
			map[string]string{"Idempotency-Key": "01890a5d-ac96-774b-bcce-b302099a8057"},
			410, refusal.KeyExpired, refusal.ExecutionUnknown,
		},
		{
			"keyed call with a deadline in the past", "POST", book, customerKey, `{"deadline":"` + past + `"}`, keyed,
			422, refusal.DeadlinePast, refusal.ExecutionUnknown,
		},
		{"no such method", "DELETE", generate, customerKey, "", nil, 400, refusal.Malformed, refusal.NotExecuted},
		{"no such path", "GET", "/v2/none", customerKey, "", nil, 400, refusal.Malformed, refusal.NotExecuted},
	}
}

// metrics returns the metrics of a router in the text format.
func (f *fleet) metrics(index int) string {
	f.t.Helper()
	response, err := http.Get(f.operateURLs[index] + "/metrics")
	qt.Assert(f.t, err, qt.IsNil)
	defer response.Body.Close() //nolint:errcheck // The body is read to its end.
	text, err := io.ReadAll(response.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return string(text)
}

// refusalCount returns the value of a router's refusal counter for a code.
func (f *fleet) refusalCount(index int, code refusal.Code) int {
	f.t.Helper()
	prefix := fmt.Sprintf("chicorydale_refusals_total{code=%q} ", code)
	for line := range strings.Lines(f.metrics(index)) {
		if rest, found := strings.CutPrefix(line, prefix); found {
			var count int
			_, err := fmt.Sscan(rest, &count)
			qt.Assert(f.t, err, qt.IsNil)
			return count
		}
	}
	f.t.Fatalf("router %d has no refusal counter for code %s", index, code)
	return 0
}

// TestRefusals guards against a wrong status or code, a wrong statement on whether the request ran, and a missing count in
// the refusals that the content of a request alone leads to.
func TestRefusals(t *testing.T) {
	f := newFleet(t)
	f.addRouter("r1", "a")
	f.waitReady(0)
	f.configure()
	f.publishBodyLimit(0)
	for _, test := range refusalCases(t) {
		t.Run(test.name, func(t *testing.T) {
			before := f.refusalCount(0, test.code)
			request, err := http.NewRequestWithContext(t.Context(), test.method, f.apiURLs[0]+test.path, strings.NewReader(test.body))
			qt.Assert(t, err, qt.IsNil)
			request.Header.Set("Content-Type", "application/json")
			if test.key != "" {
				request.Header.Set("Authorization", "Bearer "+test.key)
			}
			for name, value := range test.headers {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			qt.Assert(t, err, qt.IsNil)
			defer response.Body.Close() //nolint:errcheck // The body is read to its end.
			var got struct {
				Code refusal.Code      `json:"code"`
				Ran  refusal.Execution `json:"ran"`
			}
			qt.Assert(t, json.NewDecoder(response.Body).Decode(&got), qt.IsNil)
			qt.Check(t, response.StatusCode, qt.Equals, test.status)
			qt.Check(t, got.Code, qt.Equals, test.code)
			qt.Check(t, got.Ran, qt.Equals, test.ran)
			qt.Check(t, f.refusalCount(0, test.code), qt.Equals, before+1)
		})
	}
}

// publishBodyLimit publishes a limit of 4,000 bytes for bodies of the customer's requests.
func (f *fleet) publishBodyLimit(index int) {
	f.t.Helper()
	_, body := f.request(http.MethodGet, f.apiURLs[index]+"/v1/config", operatorKey, nil, nil)
	var current struct {
		Version   int              `json:"version"`
		Customers []map[string]any `json:"customers"`
	}
	qt.Assert(f.t, json.Unmarshal(body, &current), qt.IsNil)
	customer := current.Customers[0]
	customer["limits"] = map[string]any{"body_bytes": 4000}
	delete(customer, "number")
	change := map[string]any{"id": "limit", "base": current.Version, "put_customers": []any{customer}}
	status, answer := f.request(http.MethodPost, f.apiURLs[index]+"/v1/config/changes", operatorKey, change, nil)
	qt.Assert(f.t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
}

// TestKeyConflict guards against a booking that runs although another router has already run one with the same key and
// another body.
func TestKeyConflict(t *testing.T) {
	f := newFleetOfTwoRouters(t)
	f.configure()
	headers := map[string]string{"Idempotency-Key": newIdempotencyKey(t)}
	book := func(url, item string) (int, string) {
		body := map[string]any{"arguments": map[string]string{"item": item}}
		status, answer := f.request(http.MethodPost, url+"/v1/services/shop/book", customerKey, body, headers)
		return status, string(answer)
	}
	status, answer := book(f.apiURLs[0], "screen")
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
	status, answer = book(f.apiURLs[1], "ink")
	qt.Assert(t, status, qt.Equals, http.StatusConflict)
	qt.Assert(t, strings.Contains(answer, `"key_conflict"`), qt.IsTrue, qt.Commentf("%s", answer))
	qt.Assert(t, f.service.Bookings().Bookings, qt.HasLen, 1)
}

// TestStaleChange guards against a configuration change that is accepted although another operator has changed the version
// on which it is based, and against a change that takes effect twice if it is sent again after a lost response.
func TestStaleChange(t *testing.T) {
	f := newFleet(t)
	f.addRouter("r1", "a")
	f.waitReady(0)
	f.configure()
	publish := func(id string, base int) (int, string) {
		change := map[string]any{"id": id, "base": base, "put_services": []any{
			map[string]any{"name": id, "operations": map[string]bool{"look": true}},
		}}
		status, answer := f.request(http.MethodPost, f.apiURLs[0]+"/v1/config/changes", operatorKey, change, nil)
		return status, string(answer)
	}
	status, answer := publish("second", 1)
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
	status, answer = publish("third", 1)
	qt.Assert(t, status, qt.Equals, http.StatusConflict)
	qt.Assert(t, strings.Contains(answer, `"version":2`), qt.IsTrue, qt.Commentf("%s", answer))
	status, answer = publish("second", 1)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, strings.Contains(answer, `"repeated":true`), qt.IsTrue, qt.Commentf("%s", answer))
}
