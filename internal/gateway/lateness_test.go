package gateway_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// TestLatenessMeter guards against counting the start of the process or an early run as late, and against losing a late
// run when later runs are on time.
func TestLatenessMeter(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	const period = 25 * time.Millisecond
	qt.Check(t, gateway.MaxLateness(period, at(0)), qt.Equals, time.Duration(0))
	qt.Check(t, gateway.MaxLateness(period, at(0), at(25), at(40), at(65)), qt.Equals, time.Duration(0))
	qt.Check(t, gateway.MaxLateness(period, at(0), at(25), at(150), at(175)), qt.Equals, 100*time.Millisecond)
}
