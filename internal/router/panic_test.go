package router_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/router"
)

// panickingService is a service adapter that panics in each call.
type panickingService struct{ external.Service }

// Invoke panics.
func (panickingService) Invoke(context.Context, external.InvokeRequest) (map[string]string, error) {
	panic("invoke")
}

// panickingEngine is an engine adapter whose streams panic at the second token.
type panickingEngine struct{ external.Engine }

// Generate starts the call and wraps its stream.
func (e panickingEngine) Generate(ctx context.Context, call external.GenerateRequest) (external.Stream, error) {
	stream, err := e.Engine.Generate(ctx, call)
	return &panickingStream{Stream: stream}, err
}

// panickingStream is a stream that panics at the second token.
type panickingStream struct {
	external.Stream
	read bool
}

// Next returns the first token and panics when called again.
func (s *panickingStream) Next() (external.Token, error) {
	if s.read {
		panic("next")
	}
	s.read = true
	return s.Stream.Next()
}

// TestPanicInCall guards against a panic in one call that ends the process, that is not logged and counted, that leaves a
// slot occupied, or after which the refusal says that the call did not run.
func TestPanicInCall(t *testing.T) {
	f := newFleet(t)
	f.wrapAdapters = func(adapters router.Adapters) router.Adapters {
		engine, service := adapters.Engine, adapters.Service
		adapters.Engine = func(name, address string) external.Engine { return panickingEngine{engine(name, address)} }
		adapters.Service = func(name, address string) external.Service { return panickingService{service(name, address)} }
		return adapters
	}
	f.addTwoRouters()
	f.configure()
	before := f.refusalCount(1, refusal.Internal)
	status, answer := f.request(http.MethodPost, f.apiURLs[1]+"/v1/services/shop/stock", customerKey, map[string]any{}, nil)
	qt.Assert(t, status, qt.Equals, http.StatusInternalServerError, qt.Commentf("%s", answer))
	qt.Assert(t, strings.Contains(string(answer), `"code":"internal"`), qt.IsTrue, qt.Commentf("%s", answer))
	qt.Assert(t, strings.Contains(string(answer), `"ran":"unknown"`), qt.IsTrue, qt.Commentf("%s", answer))
	qt.Assert(t, f.refusalCount(1, refusal.Internal), qt.Equals, before+1)
	qt.Assert(t, f.logs.hasEvent("r2", event.Panicked, "invoke"), qt.IsTrue)
	response := f.sendRequest(http.MethodPost, f.apiURLs[1]+"/v1/models/m/generate", customerKey,
		map[string]any{"class": "quick", "prompt": "leaf", "max_tokens": 5}, nil)
	body, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	qt.Assert(t, strings.Contains(string(body), `"code":"internal"`), qt.IsTrue, qt.Commentf("%s", body))
	qt.Assert(t, f.refusalCount(1, refusal.Internal), qt.Equals, before+2)
	qt.Assert(t, f.logs.hasEvent("r2", event.Panicked, "next"), qt.IsTrue)
	f.eventually("slots released", func() bool {
		_, body := f.request(http.MethodGet, f.apiURLs[1]+"/v1/customers", operatorKey, nil, nil)
		return strings.Contains(string(body), `"running":0`)
	})
	f.waitReady(1)
}

// TestPanicInLoopAction guards against a panic in an action of the tick loop that ends the process, or after which the
// caller of runInLoop waits forever.
func TestPanicInLoopAction(t *testing.T) {
	qt.Assert(t, router.PanicInLoop(t.Context()), qt.Equals, "action")
}
