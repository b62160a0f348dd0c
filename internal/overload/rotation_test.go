package overload_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/overload"
)

// newZoneRotation returns the rotation of a router with a number of peers, some of which are absent.
func newZoneRotation(peers, absent int) *overload.Rotation {
	rotation := overload.NewRotation()
	for i := range peers {
		rotation.RecordPeer(strconv.Itoa(i), i < absent)
	}
	return rotation
}

// TestLateRouterLeavesRotation guards against callers that stay at a router without processor time, and that come back to it before the
// balancer has moved them.
func TestLateRouterLeavesRotation(t *testing.T) {
	rotation := newZoneRotation(10, 0)
	rotation.RecordLateness(startTime, 50*time.Millisecond)
	qt.Check(t, rotation.IsAbsent(startTime), qt.IsFalse)
	rotation.RecordLateness(startTime, 200*time.Millisecond)
	qt.Check(t, rotation.IsAbsent(startTime.Add(5*time.Second)), qt.IsTrue)
	qt.Check(t, rotation.IsAbsent(startTime.Add(10*time.Second)), qt.IsFalse)
}

// TestFewRoutersLeaveRotation guards against routers that leave together, so that the rest falls over or the balancer uses all of them again.
func TestFewRoutersLeaveRotation(t *testing.T) {
	for _, test := range []struct {
		peers, absent int
		leaves        bool
	}{{0, 0, false}, {3, 0, false}, {4, 0, true}, {4, 1, false}, {10, 1, true}, {10, 2, false}} {
		rotation := newZoneRotation(test.peers, test.absent)
		rotation.RecordLateness(startTime, time.Second)
		qt.Check(t, rotation.IsAbsent(startTime), qt.Equals, test.leaves, qt.Commentf("%+v", test))
	}
	rotation := newZoneRotation(10, 2)
	rotation.RemovePeer("0")
	rotation.RecordLateness(startTime, time.Second)
	qt.Check(t, rotation.IsAbsent(startTime), qt.IsTrue)
}
