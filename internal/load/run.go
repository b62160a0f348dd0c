package load

import (
	"context"
	"sync"
	"time"
)

// Run makes the calls of a plan with send, each in a goroutine of its own, and returns their summary when all have ended.
// Latencies count from the scheduled start of a call, so that they include the delay if the load generator falls behind.
// Calls that have not started when the context ends are left out.
func Run(ctx context.Context, plan Plan, send func(context.Context, Call) Outcome) *Summary {
	summary := newSummary()
	inFlight := make(chan struct{}, max(1, plan.MaxInFlight))
	start := time.Now()
	var calls sync.WaitGroup
	for planned := range plan.Calls() {
		scheduledAt := start.Add(planned.StartOffset)
		if !sleepUntil(ctx, scheduledAt) {
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			summary.add(planned, scheduledAt, scheduledAt, Outcome{Code: CodeSkipped})
			continue
		}
		calls.Go(func() {
			outcome := send(ctx, planned)
			summary.add(planned, scheduledAt, time.Now(), outcome)
			<-inFlight
		})
	}
	calls.Wait()
	summary.Elapsed = time.Since(start)
	return summary
}

// sleepUntil waits until the given time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, instant time.Time) bool {
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
