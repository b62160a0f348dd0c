package gateway_test

import (
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
