package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// faultyCodec is a codec with a fault that shows while a request is read.
type faultyCodec struct{ codec }

func (faultyCodec) ParseRequest(*http.Request, time.Time) (gateway.RequestInfo, *refusal.Error) {
	panic("a fault")
}

// TestRequestIsAnsweredAfterPanic guards against a request that was read and gets no byte, because the router has a fault.
func TestRequestIsAnsweredAfterPanic(t *testing.T) {
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: faultyCodec{}}, zerolog.Nop(), func() uint64 { return 0 })
	server := httptest.NewServer(gateway.Handler(gw))
	defer server.Close()
	response, err := http.Get(server.URL)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	qt.Check(t, response.StatusCode, qt.Equals, http.StatusInternalServerError)
}

// TestRefusalIsSentBeforeRequestEnds guards against refused requests that get no byte, because the process ends as soon as no request is open.
func TestRefusalIsSentBeforeRequestEnds(t *testing.T) {
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	answered := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gateway.Handler(gw).ServeHTTP(w, r)
		<-answered
	}))
	defer server.Close()
	defer close(answered)
	client := http.Client{Timeout: handoverTimeout}
	response, err := client.Get(server.URL)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// TestEndOfAnswerIsSentBeforeProcessEnds guards against answers without a length that are broken off, because the process ends when no request is open,
// while the HTTP server has not written their end.
func TestEndOfAnswerIsSentBeforeProcessEnds(t *testing.T) {
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	ended := make(chan struct{})
	// The gateway does not count the requests of this handler, so that none is open for it.
	server := gateway.ServeCallers(gw, listen(t), func(http.ConnState, bool) {}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("event"))
		_ = http.NewResponseController(w).Flush()
		<-ended
	}))
	response, err := http.Get("http://" + server.Address())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	time.AfterFunc(50*time.Millisecond, func() { close(ended) })
	gateway.AnswerOpenRequests(gw)
	qt.Assert(t, server.Close(), qt.IsNil)
	body, err := io.ReadAll(response.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(body), qt.Equals, "event")
}
