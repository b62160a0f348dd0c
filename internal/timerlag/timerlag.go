package timerlag

import (
	"testing"
	"time"
)

// interval is the time between two measurements.
const interval = 10 * time.Millisecond

// Log measures until the test ends and then logs the largest delay of a timer. Package testing shows the line if the test fails.
func Log(tb testing.TB) {
	tb.Helper()
	stop, worst := make(chan struct{}), make(chan time.Duration)
	go func() { worst <- measure(stop) }()
	tb.Cleanup(func() {
		close(stop)
		tb.Logf("the timers of this process were late by at most %v", <-worst)
	})
}

// measure returns the largest delay of a timer until stop is closed.
func measure(stop <-chan struct{}) time.Duration {
	var worst time.Duration
	for {
		due := time.Now().Add(interval)
		select {
		case <-stop:
			return worst
		case <-time.After(interval):
			worst = max(worst, time.Since(due))
		}
	}
}
