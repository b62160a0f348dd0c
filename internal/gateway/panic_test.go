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
