package claim_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/external"
)

// testLimits returns limits with a window of 10 s, so that keys expire within a test.
func testLimits() claim.Limits {
	limits := claim.DefaultLimits()
	limits.Window, limits.MaxClockSkew = 10*time.Second, 100*time.Millisecond
	return limits
}

// lostResultAsFailureBatcher is a faulty batcher that treats an append with a lost result as one that had no effect.
type lostResultAsFailureBatcher struct{ *claim.Batcher }

func (b lostResultAsFailureBatcher) Appended(now time.Time, id uint64, err error) {
	if unsettled := (*external.UnsettledError)(nil); errors.As(err, &unsettled) {
		err = errResultLost
	}
	b.Batcher.Appended(now, id, err)
}

// lossHidingBatcher is a faulty batcher that dates lost records to 1970, so that no key counts as expired because of them.
type lossHidingBatcher struct{ *claim.Batcher }

func (b lossHidingBatcher) Page(now time.Time, stream string, page external.Page) {
	if page.FirstOffset > 0 && page.FirstOffset == page.EndOffset {
		page.FirstOffset--
		page.Records = []external.Record{{Offset: page.FirstOffset, AppendedAt: time.UnixMilli(0)}}
	} else if page.FirstOffset > 0 && len(page.Records) > 0 && page.Records[0].Offset == page.FirstOffset {
		page.Records = slices.Clone(page.Records)
		page.Records[0].AppendedAt = time.UnixMilli(0)
	}
	b.Batcher.Page(now, stream, page)
}

// scenario is a script with one fault and the outcomes that its calls must have. If disable is set, it disables the safety
// mechanism that the scenario tests, and the script must then cause a violation that contains wantViolation.
type scenario struct {
	name, script, wantOutcomes string
	disable                    func(v *variant)
	wantViolation              string
}

// sendBeforeReadBack makes routers send requests without waiting for the verdict.
func sendBeforeReadBack(v *variant) { v.sendBeforeReadBack = true }

// skipSendAuthorization makes routers send requests although AuthorizeSend does not permit it.
func skipSendAuthorization(v *variant) { v.skipSendAuthorization = true }

// treatLostResultAsFailure makes batchers treat appends with a lost result as ones that had no effect.
func treatLostResultAsFailure(v *variant) {
	v.wrapBatcher = func(b *claim.Batcher) logHandler { return lostResultAsFailureBatcher{b} }
}

// hideRecordLoss makes batchers accept keys whose records may be lost.
func hideRecordLoss(v *variant) {
	v.wrapBatcher = func(b *claim.Batcher) logHandler { return lossHidingBatcher{b} }
}

// acceptKeysOfAnyAge makes routers accept keys that are older than the window, also if their records may be lost.
func acceptKeysOfAnyAge(v *variant) {
	hideRecordLoss(v)
	v.limits.Window = 1000 * time.Hour
}

var scenarios = []scenario{
	{"same key through two routers at once", "call r0 1s, call r1 1s, pass 1s", "busy,held", sendBeforeReadBack, "ran 2 times"},
	{
		"same key on both sides of a partition", "part r0, call r0 1s, call r1 1s, pass 1s",
		"busy,held", sendBeforeReadBack, "ran 2 times",
	},
	{
		"router paused past the deadline", "sending 150ms, call r0 300ms, until claimed, pause r0, call r1 200ms, " +
			"pass 600ms, call r1 200ms, pass 1s, wake r0, pass 1s",
		"busy,unknown,unknown", skipSendAuthorization, "sent after the deadline",
	},
	{
		"key expires while the router is paused", "pass 9800ms, sending 150ms, call r0 3s, until claimed, " +
			"pass 100ms, pause r0, pass 1s, wake r0, pass 1s", "unknown", skipSendAuthorization, "sent after the deadline",
	},
	{
		"router killed before sending",
		"sending 100ms, call r0 1s, until claimed, kill r0, call r1 1s, pass 1s, call r1 1s, pass 1s",
		"busy,none,unknown", sendBeforeReadBack, "ran 3 times",
	},
	{
		"router killed after sending", "call r0 1s, until ran, kill r0, pass 1s, call r1 1s, pass 1s",
		"none,unknown", sendBeforeReadBack, "ran 2 times",
	},
	{
		"batcher killed while a claim is on its way", "call other 1s, pass 15ms, kill owner, pass 1s, call other 1s, pass 1s",
		"held,replay", sendBeforeReadBack, "ran 2 times",
	},
	{
		"log down before the append", "pass 100ms, append refuses, call r0 300ms, pass 300ms, append works, call r0 2s, pass 2s",
		"held,unavailable", sendBeforeReadBack, "ran 2 times",
	},
	{
		"result of the append lost", "pass 100ms, append loses, call r0 1s, until claimed, reads fail, append works, " +
			"pass 100ms, reads work, pass 1s",
		"held", treatLostResultAsFailure, "refused as unavailable, but claimed",
	},
	{
		"append takes effect after its result was lost",
		"pass 100ms, append delays, call r0 300ms, pass 100ms, append works, pass 1s, call r1 1s, pass 1s",
		"held,unknown", treatLostResultAsFailure, "refused as unavailable, but claimed",
	},
	{
		"refused claim is appended after a release", "pass 100ms, append delays, sending 1m, call r0 4s, pass 50ms, " +
			"append works, call r1 4s, pass 1100ms, abandon, pass 1s, sending 0s, call r2 1s, pass 1s",
		"busy,held,unknown", sendBeforeReadBack, "ran 3 times",
	},
	{
		"reads fail after the append", "pass 100ms, call r0 900ms, until claimed, reads fail, pass 1s, call r1 1s, pass 1s",
		"unavailable,unknown", sendBeforeReadBack, "ran 2 times",
	},
	{
		"slow append while reads fail",
		"pass 100ms, append slow, call r0 2s, pass 100ms, reads fail, pass 1s, reads work, pass 1s", "held", nil, "",
	},
	{
		"caller gives up while its request runs", "call r0 1s, until ran, abandon, pass 1s, call r1 1s, pass 1s",
		"replay,unknown", sendBeforeReadBack, "ran 2 times",
	},
	{
		"batcher learns late that it owns the shard",
		"lag owner, kill owner, call other 1s, until ran, kill owner, pass 2s, call other 1s, pass 1s",
		"held,replay", sendBeforeReadBack, "ran 2 times",
	},
	{
		"batcher loses and regains the shard unnoticed",
		"pass 100ms, reads fail, call r0 1s, pass 100ms, demote owner, pass 100ms, join, reads work, pass 1s", "held", nil, "",
	},
	{
		"record expired before the caller retries", "call r0 1s, pass 11s, expire 0s, kill owner, call r1 1s, pass 1s",
		"expired,held", acceptKeysOfAnyAge, "ran 2 times",
	},
	{
		"record lost within the window",
		"call r0 1s, pass 3s, expire 0s, neighbour r1 1s, pass 1s, kill owner, call r1 1s, pass 1s",
		"held,held,unknown", hideRecordLoss, "ran 2 times",
	},
	{
		"same key with another body, then replay", "call r0 1s, pass 500ms, call r1 1s b, call r2 1s, pass 1s",
		"conflict,held,replay", sendBeforeReadBack, "ran 3 times",
	},
}

// TestScenarios guards against a request that runs twice, a refusal that wrongly says that the request did not run, a wrong
// replay and a key that stays blocked after a single fault. It runs each scenario that tests a safety mechanism again with the
// mechanism disabled and expects a violation, to show that the check can fail.
func TestScenarios(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			c := qt.New(t)
			v := variant{limits: testLimits()}
			sim := newSimulation(v, "r0", "r1", "r2")
			sim.runScript(sc.script)
			c.Check(sim.violations(), qt.HasLen, 0)
			c.Check(sim.outcomes(), qt.Equals, sc.wantOutcomes)
			if sc.disable == nil {
				return
			}
			sc.disable(&v)
			sim = newSimulation(v, "r0", "r1", "r2")
			sim.runScript(sc.script)
			c.Check(strings.Join(sim.violations(), "; "), qt.Contains, sc.wantViolation)
		})
	}
}
