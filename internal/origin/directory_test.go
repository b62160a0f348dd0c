package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/origin"
)

var (
	startTime = time.Unix(1000, 0)
	oldOrigin = origin.Origin{Service: "m", Build: "v1"}
	newOrigin = origin.Origin{Service: "m", Build: "v2"}
)

// lifetime is how long the streams of the tests may be taken up.
const lifetime = 30 * time.Second

// simFleet is a fleet of linked directories.
type simFleet struct {
	names       []string
	directories map[string]*origin.Directory
	// messages is the number of messages that were delivered.
	messages int
	// delivered is called after each message, unless it is nil.
	delivered func()
}

// newFleet returns a fleet of routers in three availability zones.
func newFleet(size int) *simFleet {
	f := &simFleet{directories: make(map[string]*origin.Directory)}
	for i := range size {
		f.add(fmt.Sprint("r", i))
	}
	return f
}

// zoneOf returns the availability zone of the router with an index.
func zoneOf(i int) string { return fmt.Sprint("z", i%3) }

// add starts a router and links it with the others.
func (f *simFleet) add(name string) {
	added := origin.New()
	for i, other := range f.names {
		f.directories[other].Connected(startTime, name, zoneOf(len(f.names)))
		added.Connected(startTime, other, zoneOf(i))
	}
	f.names = append(f.names, name)
	f.directories[name] = added
}

// remove ends a router.
func (f *simFleet) remove(name string) {
	f.names = slices.DeleteFunc(f.names, func(other string) bool { return other == name })
	delete(f.directories, name)
	for _, other := range f.directories {
		other.Disconnected(name)
	}
}

// deliver delivers all messages until there are none left.
func (f *simFleet) deliver(now time.Time) {
	for delivered := true; delivered; {
		delivered = false
		for _, from := range f.names {
			for _, envelope := range f.directories[from].Tick(now) {
				delivered = true
				f.messages++
				receiver := f.directories[envelope.To]
				receiver.ReceiveOrigins(now, from, envelope.Body.GetStreamOrigins())
				receiver.ReceiveQuery(now, from, envelope.Body.GetStreamOriginQuery())
				if f.delivered != nil {
					f.delivered()
				}
			}
		}
	}
}

// find returns the origin of a stream at a router, which asks the others if it does not know it.
func (f *simFleet) find(now time.Time, router string, stream origin.StreamID) (origin.Origin, bool) {
	directory := f.directories[router]
	from, known := directory.Find(now, stream)
	if !known && directory.Ask(stream) > 0 {
		f.deliver(now)
		from, known = directory.Find(now, stream)
	}
	return from, known
}

// TestOriginIsFoundAtEveryRouter guards against a stream whose origin is not found at some router, also after the router that began it and
// two others have ended, and against messages to all routers of a large fleet for each stream.
func TestOriginIsFoundAtEveryRouter(t *testing.T) {
	for _, size := range []int{2, 9, 17, 60} {
		f := newFleet(size)
		streams := make([]origin.StreamID, 10)
		for i := range streams {
			streams[i] = origin.NewStreamID(fmt.Sprint("stream ", i))
			f.directories["r0"].Record(startTime, streams[i], oldOrigin, startTime.Add(lifetime))
		}
		f.deliver(startTime)
		if size > 17 {
			qt.Check(t, f.messages <= 3*len(streams), qt.IsTrue, qt.Commentf("%d messages in a fleet of %d", f.messages, size))
		}
		f.remove("r0")
		if size > 9 {
			f.remove("r1")
			f.remove("r2")
		}
		for _, router := range f.names {
			for i, stream := range streams {
				from, known := f.find(startTime, router, stream)
				qt.Check(t, known && from == oldOrigin, qt.IsTrue, qt.Commentf("stream %d at %s of %d routers", i, router, size))
			}
		}
	}
}

// TestStartedRouterFindsOrigins guards against a router that was started after a stream began and lets it go on at any version.
func TestStartedRouterFindsOrigins(t *testing.T) {
	stream := origin.NewStreamID("a")
	for _, size := range []int{2, 40} {
		f := newFleet(size)
		f.directories["r1"].Record(startTime, stream, oldOrigin, startTime.Add(lifetime))
		f.deliver(startTime)
		f.add("late")
		from, known := f.find(startTime, "late", stream)
		qt.Check(t, known, qt.IsTrue)
		qt.Check(t, from, qt.Equals, oldOrigin)
	}
}

// TestLastTargetBeforeFirstEventCounts guards against the origin of a target that sent nothing, after which another target began the stream.
func TestLastTargetBeforeFirstEventCounts(t *testing.T) {
	stream := origin.NewStreamID("a")
	f := newFleet(9)
	f.directories["r0"].Record(startTime, stream, oldOrigin, startTime.Add(lifetime))
	f.directories["r0"].Record(startTime, stream, newOrigin, startTime.Add(lifetime))
	f.deliver(startTime)
	for _, router := range f.names {
		from, _ := f.find(startTime, router, stream)
		qt.Check(t, from, qt.Equals, newOrigin)
	}
}

// TestQuestionEnds guards against a request that waits for peers although all of them have answered or are gone.
func TestQuestionEnds(t *testing.T) {
	stream := origin.NewStreamID("unknown")
	f := newFleet(4)
	asking := f.directories["r0"]
	qt.Check(t, asking.Ask(stream), qt.Equals, 3)
	qt.Check(t, asking.TakeAnswered(), qt.HasLen, 0)
	f.remove("r3")
	f.deliver(startTime)
	qt.Check(t, asking.TakeAnswered(), qt.DeepEquals, []origin.StreamID{stream})
	qt.Check(t, asking.Ask(stream), qt.Equals, 2)
	f.remove("r1")
	f.remove("r2")
	qt.Check(t, asking.TakeAnswered(), qt.DeepEquals, []origin.StreamID{stream})
	qt.Check(t, asking.Ask(stream), qt.Equals, 0)
}

// TestOriginsExpire guards against a directory that grows with all streams that ever began, and against one that forgets a stream that was
// taken up again.
func TestOriginsExpire(t *testing.T) {
	stream := origin.NewStreamID("a")
	f := newFleet(2)
	f.directories["r0"].Record(startTime, stream, oldOrigin, startTime.Add(lifetime))
	f.deliver(startTime)
	later := startTime.Add(lifetime - time.Second)
	f.directories["r1"].Record(later, stream, oldOrigin, later.Add(lifetime))
	f.directories["r1"].Record(later, stream, oldOrigin, later.Add(time.Second))
	f.deliver(later)
	for _, router := range f.names {
		_, known := f.directories[router].Find(later.Add(lifetime-time.Second), stream)
		qt.Check(t, known, qt.IsTrue)
		_, known = f.directories[router].Find(later.Add(lifetime), stream)
		qt.Check(t, known, qt.IsFalse)
	}
}

// TestInvalidOriginsAreDropped guards against records of peers that name no build, and against the loss of the valid ones beside them.
func TestInvalidOriginsAreDropped(t *testing.T) {
	directory := origin.New()
	directory.Connected(startTime, "peer", "z")
	invalid := directory.ReceiveOrigins(startTime, "peer", &fleetpb.StreamOrigins{Origins: []*fleetpb.StreamOrigin{
		{Stream: 1, Service: "m", RemainingMs: 1000},
		{Stream: 2, Service: "m", Build: "\xff", RemainingMs: 1000},
		{Stream: 3, Service: "m", Build: "v1", RemainingMs: 1000},
	}})
	qt.Check(t, invalid, qt.Equals, 2)
	for stream, known := range map[origin.StreamID]bool{1: false, 2: false, 3: true} {
		_, found := directory.Find(startTime, stream)
		qt.Check(t, found, qt.Equals, known, qt.Commentf("stream %d", stream))
	}
}

// TestBuilds guards against taking a service for one with a single version while streams of another version may still be taken up.
func TestBuilds(t *testing.T) {
	builds := origin.NewBuilds()
	qt.Check(t, builds.Of(startTime, "m"), qt.HasLen, 0)
	builds.Set(startTime, []origin.Origin{oldOrigin, {Service: "n", Build: "v9"}})
	qt.Check(t, builds.Of(startTime, "m"), qt.DeepEquals, []string{"v1"})
	released := startTime.Add(time.Minute)
	builds.Set(released, []origin.Origin{newOrigin})
	qt.Check(t, builds.Of(released, "m"), qt.DeepEquals, []string{"v1", "v2"})
	qt.Check(t, builds.Of(released.Add(29*time.Second), "m"), qt.DeepEquals, []string{"v1", "v2"})
	qt.Check(t, builds.Of(released.Add(30*time.Second), "m"), qt.DeepEquals, []string{"v2"})
}

// TestStreamIsSpentOnceAtAllRouters guards against a customer that takes up the same stream at one router after the other and may exceed its
// share each time, also at routers that did not know the stream, and after the routers at which it was taken up have ended.
func TestStreamIsSpentOnceAtAllRouters(t *testing.T) {
	for _, size := range []int{2, 9, 17, 60} {
		f := newFleet(size)
		stream := origin.NewStreamID(fmt.Sprint("stream of ", size))
		f.directories["r0"].Record(startTime, stream, oldOrigin, startTime.Add(lifetime))
		f.deliver(startTime)
		spent := 0
		for _, router := range slices.Backward(slices.Clone(f.names)) {
			f.delivered = func() { // A router does not wait for the answers of all peers.
				if f.directories[router].Spend(startTime, stream) {
					spent++
				}
			}
			_, known := f.find(startTime, router, stream)
			qt.Check(t, known, qt.IsTrue)
			f.delivered()
			f.deliver(startTime)
			if router != "r0" {
				f.remove(router)
			}
		}
		qt.Check(t, spent, qt.Equals, 1, qt.Commentf("fleet of %d", size))
	}
}
