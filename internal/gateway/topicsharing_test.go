package gateway_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/timerlag"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// memoryStore is a topic in memory. Each router reads it through its own storeClient.
type memoryStore struct {
	mu      sync.Mutex
	records []topiclog.Record
	// restores counts how often the store came back from an older copy. The first era is 1, as in package platform.
	restores uint64
}

// appendRecord appends a record with the key "a".
func (s *memoryStore) appendRecord(value string) { s.appendKeyed("a", []byte(value)) }

// appendKeyed appends a record. A nil value removes the key.
func (s *memoryStore) appendKeyed(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, topiclog.Record{Key: key, Value: value, Offset: uint64(len(s.records))})
}

// restore makes the store come back from a copy that lacks the newest records.
func (s *memoryStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = s.records[:len(s.records)-lost]
	s.restores++
}

// pageFrom returns the records from an offset on.
func (s *memoryStore) pageFrom(offset uint64) (topiclog.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := uint64(len(s.records))
	if offset > end {
		return topiclog.Page{}, &topiclog.ExpiredError{RequestedOffset: offset}
	}
	return topiclog.Page{Records: append([]topiclog.Record(nil), s.records[offset:]...), NextOffset: end, Era: 1 + s.restores}, nil
}

// storeClient is the access of one router to the store. It counts the calls and can be disconnected.
type storeClient struct {
	*memoryStore
	calls        atomic.Int64
	disconnected atomic.Bool
}

func (c *storeClient) read(ctx context.Context, offset uint64) (topiclog.Page, error) {
	c.calls.Add(1)
	if ctx.Err() != nil {
		return topiclog.Page{}, ctx.Err()
	}
	if c.disconnected.Load() {
		return topiclog.Page{}, errors.New("the store cannot be reached")
	}
	return c.pageFrom(offset)
}

func (c *storeClient) ReadNewest(ctx context.Context) (topiclog.Page, error) {
	page, err := c.read(ctx, 0)
	newest := make(map[string]topiclog.Record)
	for _, record := range page.Records {
		newest[record.Key] = record
	}
	maps.DeleteFunc(newest, func(_ string, record topiclog.Record) bool { return record.Value == nil })
	page.Records = slices.Collect(maps.Values(newest))
	return page, err
}

func (c *storeClient) Read(ctx context.Context, offset uint64, _ time.Time) (topiclog.Page, error) {
	return c.read(ctx, offset)
}

func (c *storeClient) Put(context.Context, string, []byte) error { return nil }

// testRouter is a router of an availability zone with the values that it has read.
type testRouter struct {
	gateway.TopicSharing
	client *storeClient
	topic  topiclog.Topic

	mu        sync.Mutex
	values    map[string]string
	confirmed boottime.Instant
	// failures counts the reads that have failed.
	failures int
}

func (r *testRouter) Reset(now time.Time, records []topiclog.Record) {
	r.mu.Lock()
	clear(r.values)
	r.mu.Unlock()
	r.Apply(now, records)
}

func (r *testRouter) Apply(_ time.Time, records []topiclog.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if record.Value == nil {
			delete(r.values, record.Key)
			continue
		}
		r.values[record.Key] = string(record.Value)
	}
}

func (r *testRouter) CaughtUp(askedAt boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = max(r.confirmed, askedAt)
}

func (r *testRouter) Failed(time.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures++
}

// failureCount returns the number of reads that have failed.
func (r *testRouter) failureCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures
}

// value returns the value that the router has read for a key.
func (r *testRouter) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

// heartbeat is what a router sends that has nothing else to say, and heartbeatInterval how often.
var heartbeat = &fleetpb.Body{Kind: &fleetpb.Body_Heartbeat{Heartbeat: &fleetpb.Heartbeat{}}}

const heartbeatInterval = 500 * time.Millisecond

// testZone is a set of linked routers. Messages to silent routers are lost, and so are those to and from routers that are off.
type testZone struct {
	store   *memoryStore
	routers map[string]*testRouter
	silent  map[string]bool
	off     map[string]bool
	mu      sync.Mutex
}

// newTestZone starts linked routers that follow a topic until ctx ends.
func newTestZone(ctx context.Context, count int) *testZone {
	return newTestZoneOf(ctx, count, gateway.TopicSharing.ShareTopic)
}

// newTestZoneOf starts linked routers that follow a topic, shared by the given method, until ctx ends.
func newTestZoneOf(ctx context.Context, count int, share func(gateway.TopicSharing, topiclog.Topic) topiclog.Topic) *testZone {
	z := &testZone{store: &memoryStore{}, routers: make(map[string]*testRouter), silent: make(map[string]bool), off: make(map[string]bool)}
	z.store.appendRecord("0")
	for i := range count {
		name := fmt.Sprint("r", i)
		router := &testRouter{client: &storeClient{memoryStore: z.store}, values: make(map[string]string)}
		router.TopicSharing = gateway.NewTopicSharing(name, func(to string, body *fleetpb.Body) { go z.deliver(name, to, body) })
		router.topic = share(router.TopicSharing, topiclog.WithReadTimeout(router.client))
		z.routers[name] = router
	}
	for name, router := range z.routers {
		for peer := range z.routers {
			if peer != name {
				router.ConnectPeer(peer)
			}
		}
		go topiclog.NewFollower(router.topic, router, 0, time.Second).Run(ctx)
		go func() {
			ticker := time.NewTicker(25 * time.Millisecond)
			defer ticker.Stop()
			for ctx.Err() == nil {
				<-ticker.C
				router.AnswerDue()
			}
		}()
		go z.sendHeartbeats(ctx, name)
	}
	return z
}

// sendHeartbeats sends heartbeats of a router to all others until ctx ends.
func (z *testZone) sendHeartbeats(ctx context.Context, name string) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		for peer := range z.routers {
			if peer != name {
				z.deliver(name, peer, heartbeat)
			}
		}
	}
}

// turnOff loses all messages to and from routers. Their calls to the store fail.
func (z *testZone) turnOff(names ...string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, name := range names {
		z.off[name] = true
		z.routers[name].client.disconnected.Store(true)
	}
}

// deliver passes a message to a router.
func (z *testZone) deliver(from, to string, body *fleetpb.Body) {
	z.mu.Lock()
	drop := z.silent[to] || z.off[to] || z.off[from]
	z.mu.Unlock()
	if !drop {
		z.routers[to].Receive(from, body)
	}
}

// busiestReader returns the router with the most calls to the store, and the total number of calls of all others.
func (z *testZone) busiestReader() (name string, otherCalls int) {
	mostCalls, totalCalls := -1, 0
	for routerName, router := range z.routers {
		calls := int(router.client.calls.Load())
		totalCalls += calls
		if calls > mostCalls {
			name, mostCalls = routerName, calls
		}
	}
	return name, totalCalls - mostCalls
}

// TestTopicSharing guards against several routers that keep reading the store, and against records that arrive late or
// never through the one router that reads it.
func TestTopicSharing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		z := newTestZone(ctx, 5)
		for i := 1; i < 20; i++ {
			time.Sleep(1500 * time.Millisecond)
			z.store.appendRecord(fmt.Sprint(i))
			time.Sleep(1100 * time.Millisecond)
			synctest.Wait()
			for name, router := range z.routers {
				qt.Assert(t, router.value("a"), qt.Equals, fmt.Sprint(i), qt.Commentf("%s", name))
			}
		}
		reader, otherCalls := z.busiestReader()
		// At the start, routers may ask the reader before it has read the store.
		qt.Check(t, otherCalls <= 2*len(z.routers), qt.IsTrue, qt.Commentf("%d calls by routers other than %s", otherCalls, reader))
		qt.Check(t, z.routers[reader].client.calls.Load() > 30, qt.IsTrue)
		stop()
		time.Sleep(2 * time.Second)
	})
}

// TestRareTopicSharing guards against calls to the store by each router for topics that seldom change, and against routers that hear of no
// change while the router that reads the topic has lost the store.
func TestRareTopicSharing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		z := newTestZoneOf(ctx, 5, gateway.TopicSharing.ShareRareTopic)
		time.Sleep(30 * time.Second)
		z.store.appendRecord("changed")
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		for name, router := range z.routers {
			qt.Check(t, router.value("a"), qt.Equals, "changed", qt.Commentf("%s", name))
		}
		reader, otherCalls := z.busiestReader()
		qt.Check(t, otherCalls <= 2*len(z.routers), qt.IsTrue, qt.Commentf("%d calls by routers other than %s", otherCalls, reader))
		z.routers[reader].client.disconnected.Store(true)
		time.Sleep(2 * time.Second)
		z.store.appendRecord("later")
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		for name, router := range z.routers {
			qt.Check(t, router.value("a"), qt.Equals, "later", qt.Commentf("%s", name))
		}
		stop()
		time.Sleep(6 * time.Second)
	})
}

// TestTopicSharingReaderLost guards against routers that get no new records after the router that reads the store has gone
// silent or its links have ended, and against routers that take the store for down then, though only their peer does not reply.
func TestTopicSharingReaderLost(t *testing.T) {
	for name, loseReader := range map[string]func(z *testZone, reader string){
		"silent": func(z *testZone, reader string) {
			z.mu.Lock()
			defer z.mu.Unlock()
			z.silent[reader] = true
		},
		"ended": func(z *testZone, reader string) {
			for peer, router := range z.routers {
				if peer != reader {
					router.DisconnectPeer(reader)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				z := newTestZone(ctx, 5)
				time.Sleep(5 * time.Second)
				reader, _ := z.busiestReader()
				loseReader(z, reader)
				z.store.appendRecord("new")
				time.Sleep(2500 * time.Millisecond)
				synctest.Wait()
				for peer, router := range z.routers {
					qt.Check(t, router.value("a"), qt.Equals, "new", qt.Commentf("%s", peer))
					qt.Check(t, router.failureCount(), qt.Equals, 0, qt.Commentf("%s", peer))
				}
				stop()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestPeersThatLosePowerTogether guards against a router that waits for one lost peer after the other, and so learns late that a target has
// left although the store is sound.
func TestPeersThatLosePowerTogether(t *testing.T) {
	const lost, maxDelay = 4, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer time.Sleep(2 * time.Second) // Until the routers have stopped.
		defer stop()
		z := newTestZone(ctx, lost+1)
		time.Sleep(5 * time.Second)
		byWeight := slices.SortedFunc(maps.Keys(z.routers), func(a, b string) int {
			return cmp.Compare(gateway.ReaderWeight(a), gateway.ReaderWeight(b))
		})
		survivor := z.routers[byWeight[0]]
		z.turnOff(byWeight[1:]...)
		worst := time.Duration(0)
		for i := range 100 {
			key, writtenAt := fmt.Sprint("k", i), time.Now()
			z.store.appendKeyed(key, []byte("x"))
			time.Sleep(100 * time.Millisecond)
			go func() {
				for survivor.value(key) == "" && ctx.Err() == nil {
					time.Sleep(10 * time.Millisecond)
				}
				survivor.mu.Lock()
				defer survivor.mu.Unlock()
				worst = max(worst, time.Since(writtenAt))
			}()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		survivor.mu.Lock()
		defer survivor.mu.Unlock()
		qt.Check(t, worst <= maxDelay, qt.IsTrue, qt.Commentf("%v", worst))
	})
}

// TestTopicSharingReaderWithoutStore guards against records that count as fresh although the router that read them has
// lost the store, and against that router getting no new records although others reach the store. It takes real time,
// because testing/synctest does not simulate the boot-time clock.
func TestTopicSharingReaderWithoutStore(t *testing.T) {
	t.Parallel()
	timerlag.Log(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	z := newTestZone(ctx, 3)
	time.Sleep(1500 * time.Millisecond)
	reader, _ := z.busiestReader()
	z.routers[reader].client.disconnected.Store(true)
	disconnectedAt := boottime.Now()
	z.store.appendRecord("new")
	// Records are too old after 1.7 s, a read is held for 1 s, and a fallback peer with a bad reply is avoided for 1 s.
	time.Sleep(4 * time.Second)
	for peer, router := range z.routers {
		qt.Check(t, router.value("a"), qt.Equals, "new", qt.Commentf("%s", peer))
		router.mu.Lock()
		qt.Check(t, router.confirmed > disconnectedAt, qt.IsTrue, qt.Commentf("%s", peer))
		router.mu.Unlock()
	}
}

// TestRestoredStoreReachesAllRouters guards against routers that miss records after the store came back from an older copy, in which
// offsets are given out again.
func TestRestoredStoreReachesAllRouters(t *testing.T) {
	for name, rewritten := range map[string]int{"fewer records than before": 1, "more records than before": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				z := newTestZone(ctx, 5)
				z.store.appendKeyed("removed", []byte("x"))
				for i := range 3 {
					z.store.appendRecord(fmt.Sprint(i))
				}
				time.Sleep(5 * time.Second)
				z.store.restore(2)
				z.store.appendKeyed("removed", nil)
				for i := range rewritten {
					z.store.appendRecord(fmt.Sprint("again ", i))
				}
				time.Sleep(2500 * time.Millisecond)
				synctest.Wait()
				for peer, router := range z.routers {
					qt.Check(t, router.value("a"), qt.Equals, fmt.Sprint("again ", rewritten-1), qt.Commentf("%s", peer))
					qt.Check(t, router.value("removed"), qt.Equals, "", qt.Commentf("%s", peer))
				}
				stop()
				time.Sleep(2 * time.Second)
			})
		})
	}
}
