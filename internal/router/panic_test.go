package router_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/router"
)

// faultyService panics in each call.
type faultyService struct{ outside.Service }

// Invoke panics.
func (faultyService) Invoke(context.Context, outside.InvokeRequest) (map[string]string, error) {
	panic("invoke")
}

// faultyEngine returns streams that panic after the first token.
type faultyEngine struct{ outside.Engine }

// Generate starts the call.
func (e faultyEngine) Generate(ctx context.Context, call outside.GenerateRequest) (outside.Stream, error) {
	stream, err := e.Engine.Generate(ctx, call)
	return &faultyStream{Stream: stream}, err
}

// faultyStream panics at its second token.
type faultyStream struct {
	outside.Stream
	read bool
}

// Next returns the first token.
func (s *faultyStream) Next() (outside.Token, error) {
	if s.read {
		panic("next")
	}
	s.read = true
	return s.Stream.Next()
}

// TestPanic guards against a fault of one call that ends the process, that is not logged and counted, that keeps a slot,
// or whose caller is told that nothing ran.
func TestPanic(t *testing.T) {
	f := newFleet(t)
	f.wrap = func(adapters router.Adapters) router.Adapters {
		engine, service := adapters.Engine, adapters.Service
		adapters.Engine = func(name, address string) outside.Engine { return faultyEngine{engine(name, address)} }
		adapters.Service = func(name, address string) outside.Service { return faultyService{service(name, address)} }
		return adapters
	}
	f.addPair()
	f.configure()
	before := f.refusals(1, refusal.Internal)
	status, answer := f.do(http.MethodPost, f.urls[1]+"/v1/services/shop/stock", customerKey, map[string]any{}, nil)
	qt.Assert(t, status, qt.Equals, http.StatusInternalServerError, qt.Commentf("%s", answer))
	qt.Assert(t, strings.Contains(string(answer), `"code":"internal"`), qt.IsTrue, qt.Commentf("%s", answer))
	qt.Assert(t, strings.Contains(string(answer), `"ran":"unknown"`), qt.IsTrue, qt.Commentf("%s", answer))
	qt.Assert(t, f.refusals(1, refusal.Internal), qt.Equals, before+1)
	qt.Assert(t, f.events.has("r2", event.Panicked, "invoke"), qt.IsTrue)
	response := f.open(http.MethodPost, f.urls[1]+"/v1/models/m/generate", customerKey,
		map[string]any{"class": "quick", "prompt": "leaf", "max_tokens": 5}, nil)
	streamed, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	qt.Assert(t, strings.Contains(string(streamed), `"code":"internal"`), qt.IsTrue, qt.Commentf("%s", streamed))
	qt.Assert(t, f.refusals(1, refusal.Internal), qt.Equals, before+2)
	qt.Assert(t, f.events.has("r2", event.Panicked, "next"), qt.IsTrue)
	f.eventually("slots released", func() bool {
		_, body := f.do(http.MethodGet, f.urls[1]+"/v1/customers", operatorKey, nil, nil)
		return strings.Contains(string(body), `"running":0`)
	})
	f.ready(1)
}

// TestLoopPanic guards against a fault in an action of the tick loop that ends the process, or leaves its caller waiting.
func TestLoopPanic(t *testing.T) {
	qt.Assert(t, router.PanicInLoop(t.Context()), qt.Equals, "action")
}
