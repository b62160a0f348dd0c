package wholepath_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/pkg/client"
)

// booking is the outcome of one keyed call.
type booking struct {
	key    string
	router *router
	result client.InvokeResult
	err    error
}

// book makes a keyed call through one router. Without a deadline the router's own holds.
func book(ctx context.Context, through *client.Client, key string, deadline time.Time) (client.InvokeResult, error) {
	return through.Invoke(ctx, "shop", "book", client.InvokeRequest{
		Arguments: map[string]string{"item": "screen of " + key}, IdempotencyKey: key, Deadline: deadline,
	})
}

// bookAll makes the calls of all keys through all routers at the same time and returns a function that waits for the
// outcomes.
func (f *fleet) bookAll(keys []string, routers []*router, deadline time.Time) func() []booking {
	f.t.Helper()
	var group sync.WaitGroup
	outcomes := make([]booking, 0, len(keys)*len(routers))
	for _, key := range keys {
		for _, through := range routers {
			outcomes = append(outcomes, booking{key: key, router: through})
		}
	}
	clients := make(map[*router]*client.Client)
	for _, through := range routers {
		clients[through] = through.client(alpha)
	}
	// A router answers at the latest some time after its own deadline of 30 s for calls that name none.
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*waitLimit)
	for i := range outcomes {
		group.Go(func() {
			made := &outcomes[i]
			made.result, made.err = book(ctx, clients[made.router], made.key, deadline)
		})
	}
	return func() []booking {
		group.Wait()
		cancel()
		return outcomes
	}
}

// refused returns the refusal of a call, nil if there is an answer. It fails the test for every other error.
func (b booking) refused(t *testing.T) *client.Refusal {
	t.Helper()
	if b.err == nil {
		return nil
	}
	var refusal *client.Refusal
	qt.Assert(t, errors.As(b.err, &refusal), qt.IsTrue, qt.Commentf("key %s through %s: %v", b.key, b.router.name, b.err))
	return refusal
}

// newKeys returns a number of idempotency keys.
func newKeys(t *testing.T, count int) []string {
	t.Helper()
	keys := make([]string, count)
	for i := range keys {
		keys[i] = newKey(t)
	}
	return keys
}

// checkCounts fails the test if a key ran more than once, or if an answer or an earlier one says otherwise: all answers
// to a key are equal, and its booking is there.
func (f *fleet) checkCounts(outcomes []booking) {
	f.t.Helper()
	counts := f.counts()
	for key, count := range counts {
		qt.Check(f.t, count, qt.Equals, 1, qt.Commentf("key %s", key))
	}
	answers := make(map[string]map[string]string)
	for _, each := range outcomes {
		if each.refused(f.t) != nil {
			continue
		}
		qt.Check(f.t, counts[each.key], qt.Equals, 1, qt.Commentf("key %s is answered", each.key))
		if first, found := answers[each.key]; found {
			qt.Check(f.t, each.result.Values, qt.DeepEquals, first)
		}
		answers[each.key] = each.result.Values
	}
}
