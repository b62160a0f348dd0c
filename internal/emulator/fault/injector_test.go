package fault_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
)

// Guards against a fault that cannot be set or removed over HTTP, and against DropResponseEvery dropping a response other
// than every n-th or dropping it before the request took effect.
func TestFaultsOverHTTP(t *testing.T) {
	c := qt.New(t)
	var injector fault.Injector
	var handled atomic.Int64
	server := httptest.NewServer(injector.Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		w.WriteHeader(http.StatusNoContent)
	})))
	defer server.Close()
	// post returns the status code, or 0 if the connection was closed without a response.
	post := func(path, body string) int {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		if err != nil {
			return 0
		}
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(errors.Join(err, response.Body.Close()), qt.IsNil)
		return response.StatusCode
	}
	for _, test := range []struct {
		fault string
		want  []int
	}{
		{`{"down":true}`, []int{503, 503}},
		{`{"lose_every":2}`, []int{204, 0, 204, 0}},
		{`{"cut":true}`, []int{0}},
		{`{}`, []int{204, 204}},
	} {
		c.Assert(post("/faults", test.fault), qt.Equals, http.StatusOK)
		for _, want := range test.want {
			c.Assert(post("/", ""), qt.Equals, want)
		}
	}
	c.Assert(post("/faults", "?"), qt.Equals, http.StatusBadRequest)
	c.Assert(handled.Load(), qt.Equals, int64(6))
}
