package gateway_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/origin"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

var (
	oldBuild  = origin.Origin{Service: "m", Build: "v1"}
	newBuild  = origin.Origin{Service: "m", Build: "v2"}
	oldTarget = dispatch.Target{Name: "a", Service: "m", Build: "v1"}
	newTarget = dispatch.Target{Name: "b", Service: "m", Build: "v2"}
)

// logTopic is a topic in memory whose oldest records expire.
type logTopic struct {
	mu          sync.Mutex
	firstOffset uint64
	records     []topiclog.Record
	// era is the era of the store, zero if it names none.
	era uint64
	// putDelay is the time that a write takes.
	putDelay time.Duration
	// isAway is set while the store answers nothing, rejectsWrites while it writes nothing. losesAnswers is set while it does what it is asked, and
	// its answers are lost.
	isAway, rejectsWrites, losesAnswers bool
}

// errAway is the answer of a store that is away.
var errAway = errors.New("away")

// set changes the topic.
func (t *logTopic) set(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// count returns the number of records.
func (t *logTopic) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// ReadNewest returns the newest record of each key, without removed ones.
func (t *logTopic) ReadNewest(ctx context.Context) (topiclog.Page, error) {
	page, err := t.Read(ctx, t.firstOffset, time.Now())
	page.Records = newestOf(page.Records)
	return page, err
}

// Read implements topiclog.Topic. It does not wait for records.
func (t *logTopic) Read(_ context.Context, from uint64, _ time.Time) (topiclog.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := t.firstOffset + uint64(len(t.records))
	switch {
	case t.isAway:
		return topiclog.Page{}, errAway
	case from < t.firstOffset || from > end:
		return topiclog.Page{}, &topiclog.ExpiredError{RequestedOffset: from, OldestOffset: t.firstOffset}
	}
	return topiclog.Page{Records: append([]topiclog.Record(nil), t.records[from-t.firstOffset:]...), NextOffset: end, Era: t.era}, nil
}

// Put implements topiclog.Topic.
func (t *logTopic) Put(_ context.Context, key string, value []byte) error {
	return t.put(topiclog.Record{Key: key, Value: value}, func(uint64) bool { return true })
}

// put writes a record if the offset after the newest one is as wanted.
func (t *logTopic) put(record topiclog.Record, isWanted func(end uint64) bool) error {
	t.mu.Lock()
	putDelay := t.putDelay
	t.mu.Unlock()
	time.Sleep(putDelay)
	t.mu.Lock()
	defer t.mu.Unlock()
	end := t.firstOffset + uint64(len(t.records))
	switch {
	case t.isAway || t.rejectsWrites:
		return errAway
	case !isWanted(end):
		return &topiclog.ConflictError{Offset: end}
	}
	t.records = append(t.records, record)
	if t.losesAnswers {
		return errAway
	}
	return nil
}

// Append implements topiclog.ConditionalTopic for one record.
func (t *logTopic) Append(_ context.Context, at uint64, records []topiclog.Record) error {
	return t.put(records[0], func(end uint64) bool { return end == at })
}

// newest returns all records of the topic.
func (t *logTopic) newest() []topiclog.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]topiclog.Record(nil), t.records...)
}

// newestOf returns the newest record of each key, without removed ones.
func newestOf(records []topiclog.Record) []topiclog.Record {
	values := make(map[string][]byte)
	for _, record := range records {
		values[record.Key] = record.Value
	}
	var newest []topiclog.Record
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if values[key] != nil {
			newest = append(newest, topiclog.Record{Key: key, Value: values[key]})
		}
	}
	return newest
}

// startOrigins starts a router that has read the topics and writes to them, and returns a function that ends it.
func startOrigins(t *testing.T, builds, streams *logTopic, targets ...dispatch.Target) (gateway.StreamOrigins, func()) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	origins := gateway.NewStreamOrigins(builds, streams, new(logTopic))
	origins.SetTargets(targets...)
	origins.Marks().Reset(time.Now(), builds.newest())
	origins.Load(ctx)
	go origins.Write(ctx)
	return origins, func() {
		stop()
		time.Sleep(5 * time.Second)
	}
}

// TestStreamWaitsForMarkOfItsBuild guards against a stream that begins at a build before the store has its mark: a router that starts after
// the loss of all others would take the service for one with another single build.
func TestStreamWaitsForMarkOfItsBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		builds, streams := &logTopic{putDelay: 200 * time.Millisecond}, new(logTopic)
		origins, stop := startOrigins(t, builds, streams, oldTarget)
		defer stop()
		startedAt := time.Now()
		qt.Check(t, origins.AwaitMark(t.Context(), oldBuild), qt.IsTrue)
		qt.Check(t, builds.count(), qt.Equals, 1)
		qt.Check(t, time.Since(startedAt), qt.Equals, 200*time.Millisecond)
		qt.Check(t, origins.AwaitMark(t.Context(), oldBuild), qt.IsTrue)
		qt.Check(t, builds.count(), qt.Equals, 1)

		later := gateway.NewStreamOrigins(builds, streams, new(logTopic))
		later.SetTargets(newTarget)
		later.Load(t.Context())
		qt.Check(t, later.OnlyBuild("m"), qt.Equals, "", qt.Commentf("the marks were not read"))
		later.Marks().Reset(time.Now(), builds.newest())
		qt.Check(t, later.OnlyBuild("m"), qt.Equals, "")
	})
}

// TestStreamBeginsWithoutStore guards against streams that are held up for as long as the store is away, and against a mark that is not
// written when the store is back.
func TestStreamBeginsWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		builds := new(logTopic)
		origins, stop := startOrigins(t, builds, new(logTopic), oldTarget)
		defer stop()
		builds.set(func() { builds.isAway = true })
		startedAt := time.Now()
		for range 3 {
			qt.Check(t, origins.AwaitMark(t.Context(), oldBuild), qt.IsFalse)
		}
		qt.Check(t, time.Since(startedAt), qt.Equals, 500*time.Millisecond)
		builds.set(func() { builds.isAway = false })
		time.Sleep(time.Second)
		qt.Check(t, builds.count(), qt.Equals, 1)
		qt.Check(t, origins.AwaitMark(t.Context(), oldBuild), qt.IsTrue)
	})
}

// TestOriginsAreSavedSoon guards against streams that cannot be taken up after the loss of all routers of a small fleet, because they began since the
// last save of their origins.
func TestOriginsAreSavedSoon(t *testing.T) {
	const streams, begunEvery, longestUnsaved = 20, 47 * time.Millisecond, 150 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		builds, saved := new(logTopic), new(logTopic)
		origins, stop := startOrigins(t, builds, saved, oldTarget, newTarget)
		defer stop()
		for i := range origin.StreamID(streams) {
			origins.Begin(i+1, oldBuild, time.Now().Add(time.Minute))
			time.Sleep(begunEvery)
		}
		lostAt := time.Now()
		records := saved.newest()
		later := gateway.NewStreamOrigins(builds, &logTopic{records: records}, new(logTopic))
		later.SetTargets(oldTarget, newTarget)
		later.Load(t.Context())
		for i := range origin.StreamID(streams) {
			begunAt := lostAt.Add(-begunEvery * time.Duration(streams-i))
			if lostAt.Sub(begunAt) < longestUnsaved {
				continue
			}
			_, found := later.Find(t.Context(), i+1)
			qt.Check(t, found, qt.IsTrue, qt.Commentf("stream %d, begun %v before the loss", i+1, lostAt.Sub(begunAt)))
		}
	})
}

// TestStreamWhoseCallerHasAPartIsSaved guards against a stream that no router knows after the loss of all of them although its caller has got
// a part, also while the store is slow.
func TestStreamWhoseCallerHasAPartIsSaved(t *testing.T) {
	const streams, begunEvery = 200, 7 * time.Millisecond
	for _, putDelay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			builds, saved := new(logTopic), &logTopic{putDelay: putDelay}
			origins, stop := startOrigins(t, builds, saved, oldTarget, newTarget)
			defer stop()
			begun := make(chan origin.StreamID, streams)
			for i := range origin.StreamID(streams) {
				time.Sleep(begunEvery)
				go func() {
					origins.Begin(i+1, oldBuild, time.Now().Add(time.Minute))
					origins.AwaitSaved(t.Context(), i+1)
					begun <- i + 1
				}()
			}
			synctest.Wait()
			later := gateway.NewStreamOrigins(builds, &logTopic{records: saved.newest()}, new(logTopic))
			later.Load(t.Context())
			qt.Check(t, len(begun) >= streams-int((putDelay+100*time.Millisecond)/begunEvery)-1, qt.IsTrue, qt.Commentf("%d have begun", len(begun)))
			for range len(begun) {
				stream := <-begun
				_, found := later.Find(t.Context(), stream)
				qt.Check(t, found, qt.IsTrue, qt.Commentf("stream %d", stream))
			}
		})
	}
}

// TestStreamsDoNotWaitForStoreThatIsAway guards against streams that all wait for a store that does not answer.
func TestStreamsDoNotWaitForStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		saved := &logTopic{putDelay: time.Minute}
		origins, stop := startOrigins(t, new(logTopic), saved, oldTarget, newTarget)
		defer time.Sleep(2 * time.Minute)
		defer stop()
		startedAt := time.Now()
		for i := range origin.StreamID(20) {
			origins.Begin(i+1, oldBuild, time.Now().Add(time.Hour))
			origins.AwaitSaved(t.Context(), i+1)
		}
		qt.Check(t, time.Since(startedAt), qt.Equals, 400*time.Millisecond)
		saved.set(func() { saved.putDelay = 0 })
		time.Sleep(3 * time.Minute)
		origins.Begin(100, oldBuild, time.Now().Add(time.Hour))
		origins.AwaitSaved(t.Context(), 100)
		qt.Check(t, saved.count() > 1, qt.IsTrue)
	})
}

// TestMarkLostByStoreIsWrittenAgain guards against a build without a mark after the store has come back from an older copy, and against
// origins that are missing there.
func TestMarkLostByStoreIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		builds, streams := new(logTopic), new(logTopic)
		origins, stop := startOrigins(t, builds, streams, oldTarget, newTarget)
		defer stop()
		qt.Check(t, origins.AwaitMark(t.Context(), oldBuild), qt.IsTrue)
		origins.Begin(1, oldBuild, time.Now().Add(time.Minute))
		time.Sleep(time.Second)
		qt.Check(t, streams.count(), qt.Equals, 1)
		builds.set(func() { builds.records = nil })
		streams.set(func() { streams.records = nil })
		origins.Marks().Failed(time.Now(), &topiclog.EraError{Known: 1, Received: 2})
		origins.Marks().Reset(time.Now(), nil)
		time.Sleep(time.Second)
		qt.Check(t, builds.count(), qt.Equals, 1)
		qt.Check(t, streams.count(), qt.Equals, 1)
	})
}

// TestOriginsOutliveAllRouters guards against streams that no router knows after all of them were lost although they began more than a
// write interval before, also if the store's answer to the write was lost and old records have expired, and against writes while a service
// has a single build.
func TestOriginsOutliveAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		builds, streams := new(logTopic), &logTopic{firstOffset: 7, losesAnswers: true}
		first, stop := startOrigins(t, builds, streams, oldTarget)
		expiresAt := time.Now().Add(time.Minute)
		first.Begin(1, oldBuild, expiresAt)
		time.Sleep(10 * time.Second)
		qt.Check(t, streams.count(), qt.Equals, 0)
		first.SetTargets(oldTarget, newTarget)
		first.Begin(2, newBuild, expiresAt)
		time.Sleep(300 * time.Millisecond)
		qt.Check(t, streams.count() > 0, qt.IsTrue)
		stop()
		second, stop := startOrigins(t, builds, streams, newTarget)
		defer stop()
		for stream, want := range map[origin.StreamID]origin.Origin{1: oldBuild, 2: newBuild} {
			from, known := second.Find(t.Context(), stream)
			qt.Check(t, known, qt.IsTrue)
			qt.Check(t, from, qt.Equals, want)
		}
	})
}

// TestUnknownStreamIsRefusedUntilStoreIsRead guards against a router that has just started and lets a stream go on at the only build that it
// has seen, and against a request that waits for the store until its deadline.
func TestUnknownStreamIsRefusedUntilStoreIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		builds, streams := new(logTopic), &logTopic{isAway: true}
		origins := gateway.NewStreamOrigins(builds, streams, new(logTopic))
		origins.SetTargets(oldTarget)
		origins.Marks().Reset(time.Now(), nil)
		loaded := make(chan struct{})
		go func() {
			origins.Load(t.Context())
			close(loaded)
		}()
		startedAt := time.Now()
		_, known := origins.Find(t.Context(), 1)
		qt.Check(t, known, qt.IsFalse)
		qt.Check(t, time.Since(startedAt), qt.Equals, 200*time.Millisecond)
		qt.Check(t, origins.OnlyBuild("m"), qt.Equals, "")
		streams.set(func() { streams.isAway = false })
		<-loaded
		qt.Check(t, origins.OnlyBuild("m"), qt.Equals, "v1")
	})
}

// TestOnlyStreamThatFleetBrokeOffMayExceedShare guards against a caller that gets more than its customer's share by taking up a stream that no
// router knows, that has ended, that the caller has left, or that was taken up before.
func TestOnlyStreamThatFleetBrokeOffMayExceedShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origins := gateway.NewStreamOrigins(new(logTopic), new(logTopic), new(logTopic))
		for _, id := range []string{"broken", "left", "running"} {
			origins.Begin(origin.NewStreamID(id), origin.Origin{Service: "m", Build: "v1"}, time.Now().Add(time.Minute))
		}
		origins.End("broken", true)
		origins.End("left", false)
		for _, c := range []struct {
			resumed string
			allowed bool
		}{
			{"broken", true}, {"broken", false}, {"running", true}, {"running", false}, {"left", false}, {"unknown", false},
		} {
			qt.Check(t, origins.TakeUp(t.Context(), "again", c.resumed), qt.Equals, c.allowed, qt.Commentf("%s", c.resumed))
		}
	})
}
