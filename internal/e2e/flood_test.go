package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/timerlag"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// floodStats counts the outcomes of the calls of a customer that exceeds its limits. It is safe for concurrent use.
type floodStats struct {
	mu               sync.Mutex
	answered         int
	refused          int
	slowestRefusal   time.Duration
	unexpectedErrors []error
}

// TestFloodDoesNotDelayOtherCustomers guards against a customer whose excess calls delay the calls of another customer, and
// against excess calls that are not refused promptly with a time to retry at.
func TestFloodDoesNotDelayOtherCustomers(t *testing.T) {
	t.Parallel()
	timerlag.Log(t)
	const (
		// callersPerRouter is the number of calls that the flood keeps open at each router, far more than may wait there.
		callersPerRouter = 60
		// calls is the number of calls of the other customer; the first token of one in 20 may come after firstTokenLimit.
		calls = 20
		// firstTokenLimit is the required 95th percentile of the time to the first token, also used as the limit of a refusal.
		firstTokenLimit = 1300 * time.Millisecond
	)
	f := newFleet(t)
	f.customerLimits = map[string]any{"waiting": 20}
	f.addEngine("e1", "--interval", "5ms", "--slots", "4")
	f.addEngine("e2", "--interval", "5ms", "--slots", "4")
	f.addRouters("r1", "r2", "r3")
	f.publishInitialConfig()
	ctx, stop := context.WithCancel(t.Context())
	var stats floodStats
	var group sync.WaitGroup
	for _, r := range f.routers {
		customerClient := r.client(customerAlpha)
		for i := range callersPerRouter {
			group.Go(func() { stats.runCaller(ctx, customerClient, fmt.Sprintf("flood %s %d", r.name, i)) })
		}
	}
	for _, r := range f.routers {
		eventually(t, "calls of the flood wait at "+r.name, func() bool { return r.waitingAndRunning(customerAlpha)[0] >= 15 })
	}
	lateCalls := 0
	for i := range calls {
		began := time.Now()
		call := startStream(t.Context(), f.routers[i%len(f.routers)].client(customerBeta), "quick", fmt.Sprintf("name %d", i), 20)
		qt.Check(t, call.wait(t), qt.IsNil)
		if time.Unix(0, call.firstTokenAt.Load()).Sub(began) > firstTokenLimit {
			lateCalls++
		}
	}
	stop()
	group.Wait()
	qt.Check(t, lateCalls*20 <= calls, qt.IsTrue, qt.Commentf("%d of %d calls got their first token late", lateCalls, calls))
	qt.Check(t, stats.unexpectedErrors, qt.HasLen, 0)
	qt.Check(t, stats.answered > 0 && stats.refused > 0, qt.IsTrue)
	qt.Check(t, stats.slowestRefusal <= firstTokenLimit, qt.IsTrue, qt.Commentf("the slowest refusal took %v", stats.slowestRefusal))
}

// runCaller makes calls one after another and records their outcomes until the context is cancelled.
func (s *floodStats) runCaller(ctx context.Context, customerClient *client.Client, prompt string) {
	// retryDelay is the pause between two calls; without it, refused callers would use up the CPUs of the machine.
	const retryDelay = 50 * time.Millisecond
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		began := time.Now()
		call := startStream(ctx, customerClient, "quick", prompt, 100)
		<-call.done
		if ctx.Err() != nil {
			return
		}
		s.record(call.err, time.Since(began))
		timer.Reset(retryDelay)
	}
}

// record adds the outcome of a call that took the given time. Errors other than the expected refusal are kept for the test.
func (s *floodStats) record(err error, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refusal *client.Refusal
	switch {
	case err == nil:
		s.answered++
	case errors.As(err, &refusal) && refusal.Code == "flood_waiting" && refusal.Ran == "no" && !refusal.RetryAt.IsZero():
		s.refused++
		s.slowestRefusal = max(s.slowestRefusal, took)
	default:
		s.unexpectedErrors = append(s.unexpectedErrors, err)
	}
}
