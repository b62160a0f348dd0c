package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// withBuilds returns targets of which each of the first count has the build "old", and the others the build "new".
func withBuilds(targets []dispatch.Target, count int) []dispatch.Target {
	for i := range targets {
		targets[i].Build = "new"
		if i < count {
			targets[i].Build = "old"
		}
	}
	return targets
}

// newBoundRequest returns a request that continues a stream which a target of the build began.
func newBoundRequest(now time.Time, build string) dispatch.Request {
	r := newRequest(now, "c", 100)
	r.Build = build
	return r
}

// TestRequestGoesToTargetOfItsBuild guards against a stream that goes on at a target of another build, or that is refused although a target
// of its build is free, in services of which decisions look at all targets and at a sample.
func TestRequestGoesToTargetOfItsBuild(t *testing.T) {
	for _, size := range []int{4, 1000} {
		d := dispatch.New(routerLocality, 1)
		d.SetTargets(startTime, withBuilds(newTargets(size, 8), 2))
		now := startTime
		for i := range 12 {
			now = now.Add(10 * time.Millisecond)
			decision := submitOne(t, d, now, newBoundRequest(now, "old"))
			qt.Assert(t, decision.Refusal == nil, qt.IsTrue, qt.Commentf("request %d of %d targets", i, size))
			qt.Check(t, decision.Target.Build, qt.Equals, "old")
			answerAndFinish(d, now, decision.ID)
		}
		decision := submitOne(t, d, now, newBoundRequest(now, "gone"))
		qt.Assert(t, decision.Refusal, qt.Not(qt.IsNil))
		qt.Check(t, decision.Refusal.Code, qt.Equals, refusal.NoTarget)
	}
}

// TestBoundRequestDoesNotHoldUpOthers guards against targets that stay idle while requests wait behind one of the same customer that may only
// go to full targets.
func TestBoundRequestDoesNotHoldUpOthers(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, withBuilds(newTargets(3, 4), 1))
	full := 0
	for range 8 {
		d.Submit(startTime, dispatch.Request{
			Customer: "c", Service: "m", Build: "old", Objective: startTime.Add(time.Second), Deadline: startTime.Add(5 * time.Second),
		})
	}
	for _, decision := range d.TakeDecisions() {
		if decision.Refusal == nil {
			full++
		}
	}
	qt.Assert(t, full < 8, qt.IsTrue)
	qt.Assert(t, d.NumWaiting() > 0, qt.IsTrue)
	decision := submitOne(t, d, startTime, dispatch.Request{
		Customer: "c", Service: "m", Objective: startTime.Add(time.Second), Deadline: startTime.Add(5 * time.Second),
	})
	qt.Assert(t, decision.Refusal == nil, qt.IsTrue)
	qt.Check(t, decision.Target.Build, qt.Equals, "new")
}

// TestResumedRequestMayBeLate guards against refusing a request that takes up an answer for the objective of its first byte, which its caller
// has had long ago, while a new request would be refused.
func TestResumedRequestMayBeLate(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		d := dispatch.New(routerLocality, 1)
		const targets = 8
		d.SetTargets(startTime, newTargets(targets, 1))
		for i := range targets - 1 {
			submitOne(t, d, startTime, newRequest(startTime, "c", uint64(200+i)))
		}
		request := newRequest(startTime, "c", 100)
		request.Objective, request.Resumed = startTime.Add(time.Millisecond), resumed
		decision := submitOne(t, d, startTime, request)
		qt.Check(t, decision.Refusal == nil, qt.Equals, resumed)
	}
}

// TestNoCacheIsFetchedFromAnotherBuild guards against a target that goes on from the KV cache that another software version has written.
func TestNoCacheIsFetchedFromAnotherBuild(t *testing.T) {
	for _, build := range []string{"old", "new"} {
		d := dispatch.New(routerLocality, 1)
		d.SetTargets(startTime, withBuilds(newTargets(4, 4), 2))
		first := submitOne(t, d, startTime, newBoundRequest(startTime, "old"))
		d.RecordFirstByte(startTime.Add(50*time.Millisecond), first.ID, nil)
		second := newBoundRequest(startTime.Add(100*time.Millisecond), build)
		second.ExcludedTargets = []string{first.Target.Name}
		decision := submitOne(t, d, startTime.Add(100*time.Millisecond), second)
		qt.Assert(t, decision.Refusal == nil, qt.IsTrue)
		qt.Check(t, decision.CacheSource != "", qt.Equals, build == "old", qt.Commentf("%s", build))
		qt.Check(t, decision.PrefillTokens < second.PromptTokens, qt.Equals, build == "old", qt.Commentf("%s", build))
	}
}
