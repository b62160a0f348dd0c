package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// TestConfigViewKeepsNewest guards against going back to an older configuration when records of many changes arrive late,
// twice or corrupted, and when all records are read again because the store has dropped its history.
func TestConfigViewKeepsNewest(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	view := gateway.NewConfigView(0)
	highest := uint64(0)
	for step := 1; step < 2000; step++ {
		version := uint64(max(step-random.IntN(20), 1))
		records := []topiclog.Record{{Key: "config", Value: fmt.Append(nil, version)}}
		if random.IntN(10) == 0 {
			records = append(records, topiclog.Record{Key: "config", Value: []byte("spoilt")})
		}
		if random.IntN(50) == 0 {
			view.Reset(time.Now(), records)
		} else {
			view.Apply(time.Now(), records)
		}
		highest = max(highest, version)
		qt.Assert(t, view.Table().Version(), qt.Equals, highest)
	}
}

// TestConfigViewFresh guards against accepting API keys although the store has not confirmed the configuration for longer
// than the maximum revocation delay, after an outage, a network partition, or while the host was suspended, which the
// clock counts. It also guards against an older confirmation from another router that replaces a newer one.
func TestConfigViewFresh(t *testing.T) {
	const maxRevocationDelay = 5 * time.Second
	now := boottime.Now()
	view := gateway.NewConfigView(maxRevocationDelay)
	qt.Check(t, view.Fresh(), qt.IsFalse)
	view.CaughtUp(now.Add(-maxRevocationDelay))
	qt.Check(t, view.Fresh(), qt.IsFalse)
	view.CaughtUp(now.Add(-maxRevocationDelay + 100*time.Millisecond))
	qt.Check(t, view.Fresh(), qt.IsFalse)
	view.CaughtUp(now.Add(-maxRevocationDelay / 2))
	qt.Check(t, view.Fresh(), qt.IsTrue)
	view.CaughtUp(now.Add(-2 * maxRevocationDelay))
	qt.Check(t, view.Fresh(), qt.IsTrue)
}

// TestConfigOfOlderCopyIsNotConfirmed guards against a router that accepts a revoked key, because it starts while the store comes back from a copy
// that is older than the revocation, and against one that lives through this and refuses all keys.
func TestConfigOfOlderCopyIsNotConfirmed(t *testing.T) {
	for _, isConfirmed := range []bool{true, false} {
		isComplete := false
		view := gateway.NewRestoredConfigView(5*time.Second, isConfirmed, func(time.Time) bool { return isComplete })
		view.CaughtUp(boottime.Now())
		qt.Check(t, view.Fresh(), qt.Equals, isConfirmed)
		isComplete = true
		qt.Check(t, view.Fresh(), qt.IsTrue)
	}
}
