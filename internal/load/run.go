package load

import (
	"context"
	"sync"
	"time"
)

// Run makes the calls of a plan and returns their summary when all have ended. A latency counts from the instant at which
// the plan has the call, so that a load that cannot keep up shows it. Calls that have not begun when the context ends are
// left out.
func Run(ctx context.Context, plan Plan, call func(context.Context, Call) Outcome) *Summary {
	summary := newSummary()
	open := make(chan struct{}, max(1, plan.MaxInFlight))
	start := time.Now()
	var group sync.WaitGroup
	for next := range plan.Calls() {
		due := start.Add(next.At)
		if !until(ctx, due) {
			break
		}
		select {
		case open <- struct{}{}:
		default:
			summary.add(next, due, due, Outcome{Code: Skipped})
			continue
		}
		group.Go(func() {
			outcome := call(ctx, next)
			summary.add(next, due, time.Now(), outcome)
			<-open
		})
	}
	group.Wait()
	summary.Elapsed = time.Since(start)
	return summary
}

// until waits for an instant and reports whether it came before the end of the context.
func until(ctx context.Context, instant time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(time.Until(instant))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
