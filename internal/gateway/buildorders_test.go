//go:build !race

package gateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNoStreamGoesOnAtAnotherBuild guards against a stream that goes on at a build that did not begin it, whatever the order of the ends of
// routers, of releases, and of failures of the store, which also loses what it has acknowledged.
func TestNoStreamGoesOnAtAnotherBuild(t *testing.T) {
	asked, wentOn := 0, 0
	for seed := range uint64(48) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newOriginModel(t, seed, 3)
				defer m.end()
				isRestored, length := seed%2 == 0, 2*time.Minute
				if isRestored {
					length = 45 * time.Second
				}
				for endsAt := time.Now().Add(length); time.Now().Before(endsAt); {
					m.step(isRestored)
				}
				synctest.Wait()
				asked, wentOn = asked+m.asked, wentOn+m.wentOn
			})
		})
	}
	t.Logf("%d of %d streams went on", wentOn, asked)
	qt.Check(t, 4*wentOn >= asked, qt.IsTrue, qt.Commentf("%d of %d streams went on", wentOn, asked))
}
