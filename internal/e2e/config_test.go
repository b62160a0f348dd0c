package e2e_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
)

// maxPropagation is the time limit for an accepted configuration to be in force at every router.
const maxPropagation = 17 * time.Second

// publishOutcome is the HTTP status and the decoded response or refusal of a published change.
type publishOutcome struct {
	status  int
	Version int64
	Code    string
}

// TestConcurrentConfigChanges publishes changes with the same base version through two routers at once. It guards against
// both being accepted or both refused, against routers that end up with different configurations, and against a router that
// starts during a log outage and gets no configuration from its peers.
func TestConcurrentConfigChanges(t *testing.T) {
	t.Parallel()
	const rounds = 10
	f := newFleet(t)
	f.addEngine("e1", "--interval", "2ms")
	f.addRouters("r1", "r2", "r3")
	f.publishInitialConfig()
	for round := range rounds {
		base := int64(1 + round)
		fromSecondRouter := make(chan publishOutcome, 1)
		go func() { fromSecondRouter <- f.routers[1].publishWeight(fmt.Sprintf("ana %d", round), base, 2) }()
		outcomes := map[string]publishOutcome{
			"ben": f.routers[0].publishWeight(fmt.Sprintf("ben %d", round), base, 3), "ana": <-fromSecondRouter,
		}
		winner, loser := outcomes["ana"], outcomes["ben"]
		if winner.status != http.StatusOK {
			winner, loser = loser, winner
		}
		qt.Check(t, winner, qt.Equals, publishOutcome{status: http.StatusOK, Version: base + 1})
		qt.Check(t, loser, qt.Equals, publishOutcome{status: http.StatusConflict, Version: base + 1, Code: "stale_change"})
	}
	f.checkSameConfig(rounds + 1)
	injectFault(t, f.logService, fault.Fault{Down: true})
	f.addRouters("r4")
	newRouter := f.routers[len(f.routers)-1]
	eventually(t, "the new router is ready", newRouter.isReady)
	f.checkSameConfig(rounds + 1)
	qt.Check(t, startStream(t.Context(), newRouter.client(customerAlpha), "quick", "a name", 10).wait(t), qt.IsNil)
	refused := newRouter.publishWeight("while down", rounds+1, 4)
	qt.Check(t, refused, qt.Equals, publishOutcome{status: http.StatusServiceUnavailable, Code: "log_unavailable"})
	injectFault(t, f.logService, fault.Fault{})
	var retried publishOutcome
	eventually(t, "a change is accepted after the log outage", func() bool {
		retried = newRouter.publishWeight("while down", rounds+1, 4)
		return retried.status == http.StatusOK
	})
	qt.Check(t, retried.Version, qt.Equals, int64(rounds+2))
	f.checkSameConfig(rounds + 2)
}

// publishWeight publishes a change with the given ID and base version that sets the weight of customerBeta.
func (r *router) publishWeight(id string, base int64, weight int) publishOutcome {
	change := map[string]any{"id": id, "base": base, "put_customers": []any{map[string]any{
		"name": customerBeta, "template": "small", "weight": weight, "key_hashes": []string{keyHash(customerBeta + "-key")},
	}}}
	var outcome publishOutcome
	outcome.status = requestJSON(http.MethodPost, r.address, "/v1/config/changes", operatorKey, change, &outcome)
	return outcome
}

// checkSameConfig waits until every router has the given configuration version and checks that the configurations are equal.
func (f *fleet) checkSameConfig(version int64) {
	f.t.Helper()
	var first map[string]any
	for _, r := range f.routers {
		eventuallyWithin(f.t, maxPropagation, r.name+" has the configuration version", func() bool {
			return r.status().ConfigVersion >= version
		})
		var config map[string]any
		requestJSON(http.MethodGet, r.address, "/v1/config", operatorKey, nil, &config)
		qt.Check(f.t, config["version"], qt.Equals, float64(version))
		if first == nil {
			first = config
		}
		qt.Check(f.t, config, qt.DeepEquals, first)
	}
}
