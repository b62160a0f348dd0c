package wholepath_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/pkg/client"
)

// flood is the load of a customer that sends far more calls than it may.
type flood struct {
	mu       sync.Mutex
	answered int
	refused  int
	slowest  time.Duration
	faults   []error
}

// TestFlood guards against a customer whose flood makes another customer wait, and against floods that are not refused
// at once with an instant to come back at.
func TestFlood(t *testing.T) {
	t.Parallel()
	const (
		// callers is the number of calls that the flood keeps open at each router, far more than may wait.
		callers = 60
		// calls is the number of calls of the other customer; of these one in 20 may have a later first token.
		calls = 20
		// firstToken is the design's bound for 95 calls of 100.
		firstToken = 1300 * time.Millisecond
	)
	f := newFleet(t)
	f.limits = map[string]any{"waiting": 20}
	f.addEngine("e1", "--interval", "5ms", "--slots", "4")
	f.addEngine("e2", "--interval", "5ms", "--slots", "4")
	f.addRouters("r1", "r2", "r3")
	f.settle()
	ctx, stop := context.WithCancel(t.Context())
	var load flood
	var group sync.WaitGroup
	for _, each := range f.routers {
		through := each.client(alpha)
		for i := range callers {
			group.Go(func() { load.run(ctx, through, fmt.Sprintf("flood %s %d", each.name, i)) })
		}
	}
	for _, each := range f.routers {
		eventually(t, "the flood waits at "+each.name, func() bool { return each.open(alpha)[0] >= 15 })
	}
	late := 0
	for i := range calls {
		began := time.Now()
		call := generate(t.Context(), f.routers[i%len(f.routers)].client(beta), "quick", fmt.Sprintf("name %d", i), 20)
		qt.Check(t, call.wait(t), qt.IsNil)
		if time.Unix(0, call.started.Load()).Sub(began) > firstToken {
			late++
		}
	}
	stop()
	group.Wait()
	qt.Check(t, late*20 <= calls, qt.IsTrue, qt.Commentf("%d of %d first tokens late", late, calls))
	qt.Check(t, load.faults, qt.HasLen, 0)
	qt.Check(t, load.answered > 0 && load.refused > 0, qt.IsTrue)
	qt.Check(t, load.slowest <= firstToken, qt.IsTrue, qt.Commentf("a refusal took %v", load.slowest))
}

// run makes one call after the other until the context ends.
func (l *flood) run(ctx context.Context, through *client.Client, prompt string) {
	// pause keeps the refused callers from using up the processors of the machine.
	const pause = 50 * time.Millisecond
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		began := time.Now()
		call := generate(ctx, through, "quick", prompt, 100)
		<-call.done
		if ctx.Err() != nil {
			return
		}
		l.note(call.err, time.Since(began))
		timer.Reset(pause)
	}
}

// note counts the outcome of a call.
func (l *flood) note(err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var refusal *client.Refusal
	switch {
	case err == nil:
		l.answered++
	case errors.As(err, &refusal) && refusal.Code == "flood_waiting" && refusal.Ran == "no" && !refusal.RetryAt.IsZero():
		l.refused++
		l.slowest = max(l.slowest, took)
	default:
		l.faults = append(l.faults, err)
	}
}
