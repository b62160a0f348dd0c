package e2e_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/pkg/client"
)

// bookingOutcome is the result or error of one booking with an idempotency key, sent through one router.
type bookingOutcome struct {
	key    string
	router *router
	result client.InvokeResult
	err    error
}

// book sends a booking with an idempotency key. If the deadline is zero, the router applies its default deadline.
func book(ctx context.Context, customerClient *client.Client, key string, deadline time.Time) (client.InvokeResult, error) {
	return customerClient.Invoke(ctx, "shop", "book", client.InvokeRequest{
		Arguments: map[string]string{"item": "screen of " + key}, IdempotencyKey: key, Deadline: deadline,
	})
}

// bookAll concurrently sends one booking for each pair of key and router, all for customerAlpha. It returns a function
// that waits for the outcomes; the caller must call it.
func (f *fleet) bookAll(keys []string, routers []*router, deadline time.Time) func() []bookingOutcome {
	f.t.Helper()
	var group sync.WaitGroup
	outcomes := make([]bookingOutcome, 0, len(keys)*len(routers))
	for _, key := range keys {
		for _, r := range routers {
			outcomes = append(outcomes, bookingOutcome{key: key, router: r})
		}
	}
	clients := make(map[*router]*client.Client)
	for _, r := range routers {
		clients[r] = r.client(customerAlpha)
	}
	// Routers apply a deadline of 30 s to calls without one and respond shortly after it, so the limit is twice as long.
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*defaultTimeout)
	for i := range outcomes {
		group.Go(func() {
			outcome := &outcomes[i]
			outcome.result, outcome.err = book(ctx, clients[outcome.router], outcome.key, deadline)
		})
	}
	return func() []bookingOutcome {
		group.Wait()
		cancel()
		return outcomes
	}
}

// refusal returns the refusal of the booking, or nil if it succeeded. It fails the test on any other error.
func (b bookingOutcome) refusal(t *testing.T) *client.Refusal {
	t.Helper()
	if b.err == nil {
		return nil
	}
	var refusal *client.Refusal
	qt.Assert(t, errors.As(b.err, &refusal), qt.IsTrue, qt.Commentf("key %s through %s: %v", b.key, b.router.name, b.err))
	return refusal
}

// newIdempotencyKeys returns count new idempotency keys.
func newIdempotencyKeys(t *testing.T, count int) []string {
	t.Helper()
	keys := make([]string, count)
	for i := range keys {
		keys[i] = newIdempotencyKey(t)
	}
	return keys
}

// checkKeysRanOnce checks that no key ran more than once on the replicas, that every key with a successful outcome ran, and
// that all results for the same key are equal.
func (f *fleet) checkKeysRanOnce(outcomes []bookingOutcome) {
	f.t.Helper()
	counts := f.runCounts()
	for key, count := range counts {
		qt.Check(f.t, count, qt.Equals, 1, qt.Commentf("runs of key %s", key))
	}
	answers := make(map[string]map[string]string)
	for _, outcome := range outcomes {
		if outcome.refusal(f.t) != nil {
			continue
		}
		qt.Check(f.t, counts[outcome.key], qt.Equals, 1, qt.Commentf("runs of key %s, which has a result", outcome.key))
		if first, found := answers[outcome.key]; found {
			qt.Check(f.t, outcome.result.Values, qt.DeepEquals, first)
		}
		answers[outcome.key] = outcome.result.Values
	}
}
