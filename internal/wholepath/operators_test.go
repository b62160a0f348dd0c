package wholepath_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
)

// inForce is the time within which an accepted configuration is in force at every router.
const inForce = 17 * time.Second

// published is the answer to a change, or its refusal.
type published struct {
	status  int
	Version int64
	Code    string
}

// TestOperatorsRace guards against two changes of the same version that are both accepted or both refused, against
// routers with different configurations, and against a router that starts while the log is down and has none.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	const rounds = 10
	f := newFleet(t)
	f.addEngine("e1", "--interval", "2ms")
	f.addRouters("r1", "r2", "r3")
	f.settle()
	for round := range rounds {
		base := int64(1 + round)
		second := make(chan published, 1)
		go func() { second <- f.routers[1].publish(fmt.Sprintf("ana %d", round), base, 2) }()
		answers := map[string]published{"ben": f.routers[0].publish(fmt.Sprintf("ben %d", round), base, 3), "ana": <-second}
		winner, loser := answers["ana"], answers["ben"]
		if winner.status != http.StatusOK {
			winner, loser = loser, winner
		}
		qt.Check(t, winner, qt.Equals, published{status: http.StatusOK, Version: base + 1})
		qt.Check(t, loser, qt.Equals, published{status: http.StatusConflict, Version: base + 1, Code: "stale_change"})
	}
	f.checkSameConfig(rounds + 1)
	inject(t, f.log, fault.Fault{Down: true})
	f.addRouters("r4")
	started := f.routers[len(f.routers)-1]
	eventually(t, "the new router is ready", started.ready)
	f.checkSameConfig(rounds + 1)
	qt.Check(t, generate(t.Context(), started.client(alpha), "quick", "a name", 10).wait(t), qt.IsNil)
	refused := started.publish("while down", rounds+1, 4)
	qt.Check(t, refused, qt.Equals, published{status: http.StatusServiceUnavailable, Code: "log_unavailable"})
	inject(t, f.log, fault.Fault{})
	var next published
	eventually(t, "a change works again", func() bool {
		next = started.publish("while down", rounds+1, 4)
		return next.status == http.StatusOK
	})
	qt.Check(t, next.Version, qt.Equals, int64(rounds+2))
	f.checkSameConfig(rounds + 2)
}

// publish publishes a change of the weight of a customer.
func (r *router) publish(id string, base int64, weight int) published {
	change := map[string]any{"id": id, "base": base, "put_customers": []any{map[string]any{
		"name": beta, "template": "small", "weight": weight, "key_hashes": []string{keyHash(beta + "-key")},
	}}}
	var answer published
	answer.status = exchange(http.MethodPost, r.address, "/v1/config/changes", operatorKey, change, &answer)
	return answer
}

// checkSameConfig checks that all routers have a version of the configuration and agree on it.
func (f *fleet) checkSameConfig(version int64) {
	f.t.Helper()
	var first map[string]any
	for _, each := range f.routers {
		within(f.t, inForce, each.name+" has the version", func() bool { return each.status().ConfigVersion >= version })
		var config map[string]any
		exchange(http.MethodGet, each.address, "/v1/config", operatorKey, nil, &config)
		qt.Check(f.t, config["version"], qt.Equals, float64(version))
		if first == nil {
			first = config
		}
		qt.Check(f.t, config, qt.DeepEquals, first)
	}
}
