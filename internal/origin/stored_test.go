package origin_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/origin"
)

// everyService selects all services.
func everyService(string) bool { return true }

// TestStoredOriginsAreFound guards against a router that has just started and does not find the streams that another one has written, or
// finds some that can no longer be taken up.
func TestStoredOriginsAreFound(t *testing.T) {
	writer, reader := origin.New(), origin.New()
	for i := range 6 {
		stream := origin.NewStreamID(fmt.Sprint(i))
		from := []origin.Origin{oldOrigin, newOrigin}[i%2]
		writer.Record(startTime, stream, from, startTime.Add(lifetime))
		writer.Begin(stream)
	}
	record := writer.Unsaved(startTime, everyService).Record()
	qt.Check(t, reader.ReceiveStored(startTime, record), qt.Equals, 0)
	for i := range 6 {
		stream := origin.NewStreamID(fmt.Sprint(i))
		from, known := reader.Find(startTime, stream)
		qt.Check(t, known, qt.IsTrue)
		qt.Check(t, from, qt.Equals, []origin.Origin{oldOrigin, newOrigin}[i%2])
	}
	late := origin.New()
	late.ReceiveStored(startTime.Add(lifetime), record)
	qt.Check(t, late.Len(), qt.Equals, 0)
}

// TestStreamIsStoredOnceItHasBegun guards against a record that names a target that did not begin the stream: until the caller gets a part,
// another target may begin it.
func TestStreamIsStoredOnceItHasBegun(t *testing.T) {
	stream := origin.NewStreamID("a")
	directory := origin.New()
	directory.Record(startTime, stream, oldOrigin, startTime.Add(lifetime))
	qt.Check(t, directory.Unsaved(startTime, everyService).Record(), qt.IsNil)
	directory.Record(startTime, stream, newOrigin, startTime.Add(lifetime))
	directory.Begin(stream)
	record := directory.Unsaved(startTime, everyService).Record()
	qt.Assert(t, record.GetGroups(), qt.HasLen, 1)
	qt.Check(t, record.GetGroups()[0].GetBuild(), qt.Equals, newOrigin.Build)
	qt.Check(t, directory.Unsaved(startTime, func(string) bool { return false }).Record(), qt.IsNil)
}

// TestUnsavedStreamsAreWrittenAgain guards against a stream that is missing in the store after a write that failed, after a later expiry or
// after the store has lost records, and against one that is written in each batch.
func TestUnsavedStreamsAreWrittenAgain(t *testing.T) {
	stream := origin.NewStreamID("a")
	directory := origin.New()
	isUnsaved := func() bool { return directory.Unsaved(startTime, everyService).Record() != nil }
	directory.Record(startTime, stream, oldOrigin, startTime.Add(lifetime))
	directory.Begin(stream)
	_ = directory.Unsaved(startTime, everyService) // This write fails.
	qt.Check(t, isUnsaved(), qt.IsTrue)
	directory.Saved(directory.Unsaved(startTime, everyService))
	qt.Check(t, isUnsaved(), qt.IsFalse)
	directory.Record(startTime, stream, oldOrigin, startTime.Add(2*lifetime))
	qt.Check(t, isUnsaved(), qt.IsTrue)
	directory.Saved(directory.Unsaved(startTime, everyService))
	directory.Unsave()
	qt.Check(t, isUnsaved(), qt.IsTrue)
}

// TestInvalidStoredOriginsAreDropped guards against records of the store that name no build, and against the loss of the valid ones beside
// them.
func TestInvalidStoredOriginsAreDropped(t *testing.T) {
	directory := origin.New()
	expiresAtMS := startTime.Add(lifetime).UnixMilli()
	invalid := directory.ReceiveStored(startTime, &fleetpb.StoredOrigins{Groups: []*fleetpb.StoredOriginGroup{
		{Service: "m", ExpiresAtMs: expiresAtMS, Streams: []uint64{1}},
		{Service: "m", Build: "\xff", ExpiresAtMs: expiresAtMS, Streams: []uint64{2}},
		{Service: "m", Build: "v1", ExpiresAtMs: expiresAtMS, Streams: []uint64{3}},
	}})
	qt.Check(t, invalid, qt.Equals, 2)
	qt.Check(t, directory.Len(), qt.Equals, 1)
}

// TestMarkedBuildsCount guards against a router that has just started and takes a service for one with a single build, although streams of
// another one may be taken up.
func TestMarkedBuildsCount(t *testing.T) {
	builds := origin.NewBuilds()
	builds.ResetMarks(startTime, []origin.Origin{oldOrigin})
	builds.Set(startTime.Add(time.Second), []origin.Origin{newOrigin})
	qt.Check(t, builds.Of(startTime, "m"), qt.DeepEquals, []string{"v1", "v2"})
	qt.Check(t, builds.SharedServices(startTime), qt.DeepEquals, []string{"m"})
	qt.Check(t, builds.Outdated(startTime.Add(30*time.Second)), qt.HasLen, 0)
	later := startTime.Add(31 * time.Second)
	qt.Check(t, builds.Outdated(later), qt.DeepEquals, []origin.Origin{oldOrigin})
	builds.Unmark(oldOrigin)
	qt.Check(t, builds.Of(later, "m"), qt.DeepEquals, []string{"v2"})
	qt.Check(t, builds.SharedServices(later), qt.HasLen, 0)
}

// TestMarkOfUnlistedBuildStays guards against a router that removes the mark of a build because it cannot read the list of targets.
func TestMarkOfUnlistedBuildStays(t *testing.T) {
	builds := origin.NewBuilds()
	builds.ResetMarks(startTime, []origin.Origin{oldOrigin, newOrigin})
	qt.Check(t, builds.Outdated(startTime.Add(time.Hour)), qt.HasLen, 0)
	builds.Set(startTime.Add(time.Hour), []origin.Origin{newOrigin})
	qt.Check(t, builds.Outdated(startTime.Add(time.Hour+29*time.Second)), qt.HasLen, 0)
	qt.Check(t, builds.Outdated(startTime.Add(time.Hour+30*time.Second)), qt.DeepEquals, []origin.Origin{oldOrigin})
}

// TestLostMarksAreNamed guards against a build without a mark after the store has come back from an older copy.
func TestLostMarksAreNamed(t *testing.T) {
	builds := origin.NewBuilds()
	third := origin.Origin{Service: "m", Build: "v0"}
	builds.Set(startTime, []origin.Origin{oldOrigin})
	builds.ResetMarks(startTime, []origin.Origin{oldOrigin, newOrigin, third})
	builds.Set(startTime.Add(time.Minute), []origin.Origin{newOrigin})
	lost := builds.ResetMarks(startTime.Add(time.Minute), nil)
	qt.Check(t, lost, qt.ContentEquals, []origin.Origin{oldOrigin, newOrigin})
	qt.Check(t, builds.IsMarked(newOrigin), qt.IsFalse)
}
