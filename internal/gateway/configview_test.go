package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/keyed"
)

// TestStorm guards against a configuration that goes back in a storm of changes whose records come late, twice, or spoilt, and
// when all of them are read again after the store dropped its history.
func TestStorm(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	view := gateway.NewConfigView(0)
	highest := uint64(0)
	for version := 1; version < 2000; version++ {
		shown := uint64(max(version-random.IntN(20), 1))
		records := []keyed.Record{{Key: "config", Value: fmt.Append(nil, shown)}}
		if random.IntN(10) == 0 {
			records = append(records, keyed.Record{Key: "config", Value: []byte("spoilt")})
		}
		if random.IntN(50) == 0 {
			view.Reset(time.Now(), records)
		} else {
			view.Apply(time.Now(), records)
		}
		highest = max(highest, shown)
		qt.Assert(t, view.Table().Version(), qt.Equals, highest)
	}
}

// TestFreshness guards against keys that are accepted although the store has not confirmed the configuration for longer than
// the bound of revocation: after an outage, a cut, or the sleep of a suspended host, which the clock counts; and against an
// older confirmation of another router that takes back a newer one.
func TestFreshness(t *testing.T) {
	const bound = 5 * time.Second
	now := boottime.Now()
	view := gateway.NewConfigView(bound)
	qt.Check(t, view.Fresh(), qt.IsFalse)
	view.CaughtUp(now.Add(-bound))
	qt.Check(t, view.Fresh(), qt.IsFalse)
	view.CaughtUp(now.Add(-bound + 100*time.Millisecond))
	qt.Check(t, view.Fresh(), qt.IsFalse)
	view.CaughtUp(now.Add(-bound / 2))
	qt.Check(t, view.Fresh(), qt.IsTrue)
	view.CaughtUp(now.Add(-2 * bound))
	qt.Check(t, view.Fresh(), qt.IsTrue)
}
