package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/keyed"
)

// store is a topic in memory. Each router has a view of it that counts its calls and can be cut off.
type store struct {
	mu      sync.Mutex
	records []keyed.Record
}

// write appends a record of the key a.
func (s *store) write(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, keyed.Record{Key: "a", Value: []byte(value), Offset: uint64(len(s.records))})
}

// from returns the records from an offset on.
func (s *store) from(offset uint64) keyed.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	return keyed.Page{Records: append([]keyed.Record(nil), s.records[offset:]...), NextOffset: uint64(len(s.records))}
}

// view is the store as one router reaches it.
type view struct {
	*store
	calls atomic.Int64
	cut   atomic.Bool
}

func (v *view) page(offset uint64) (keyed.Page, error) {
	v.calls.Add(1)
	if v.cut.Load() {
		return keyed.Page{}, errors.New("cut off")
	}
	return v.from(offset), nil
}

func (v *view) ReadNewest(context.Context) (keyed.Page, error) { return v.page(0) }

func (v *view) Read(_ context.Context, offset uint64, _ time.Time) (keyed.Page, error) {
	return v.page(offset)
}

func (v *view) Put(context.Context, string, []byte) error { return nil }

// member is a router of an availability zone with what it has read.
type member struct {
	gateway.Sharer
	view  *view
	topic keyed.Topic

	mu        sync.Mutex
	values    map[string]string
	confirmed boottime.Instant
}

func (m *member) Reset(now time.Time, records []keyed.Record) {
	m.mu.Lock()
	clear(m.values)
	m.mu.Unlock()
	m.Apply(now, records)
}

func (m *member) Apply(_ time.Time, records []keyed.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range records {
		m.values[record.Key] = string(record.Value)
	}
}

func (m *member) CaughtUp(asked boottime.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmed = max(m.confirmed, asked)
}

func (m *member) Failed(time.Time, error) {}

// value returns what the router has read of a key.
func (m *member) value(key string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[key]
}

// zone is a set of linked routers; messages to a silent one are lost.
type zone struct {
	store   *store
	members map[string]*member
	silent  map[string]bool
	mu      sync.Mutex
}

// newZone starts linked routers that follow a topic until the test ends.
func newZone(ctx context.Context, routers int) *zone {
	z := &zone{store: &store{}, members: make(map[string]*member), silent: make(map[string]bool)}
	z.store.write("0")
	for i := range routers {
		name := fmt.Sprint("r", i)
		m := &member{view: &view{store: z.store}, values: make(map[string]string)}
		m.Sharer = gateway.NewSharer(name, func(to string, body *fleetpb.Body) { go z.deliver(name, to, body) })
		m.topic = m.Share(m.view)
		z.members[name] = m
	}
	for name, m := range z.members {
		for peer := range z.members {
			if peer != name {
				m.Link(peer)
			}
		}
		go keyed.NewFollower(m.topic, m, 0, time.Second).Run(ctx)
		go func() {
			ticker := time.NewTicker(25 * time.Millisecond)
			defer ticker.Stop()
			for ctx.Err() == nil {
				<-ticker.C
				m.Tick()
			}
		}()
	}
	return z
}

// deliver hands a message to a router.
func (z *zone) deliver(from, to string, body *fleetpb.Body) {
	z.mu.Lock()
	lost := z.silent[to]
	z.mu.Unlock()
	if !lost {
		z.members[to].Receive(from, body)
	}
}

// reader returns the name of the router that has read the store most often, and the calls of all others together.
func (z *zone) reader() (name string, others int) {
	most, sum := -1, 0
	for each, m := range z.members {
		calls := int(m.view.calls.Load())
		sum += calls
		if calls > most {
			name, most = each, calls
		}
	}
	return name, sum - most
}

// TestShared guards against routers that all read the store, and against records that come late or not at all through the
// one that does.
func TestShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		z := newZone(ctx, 5)
		for i := 1; i < 20; i++ {
			time.Sleep(1500 * time.Millisecond)
			z.store.write(fmt.Sprint(i))
			time.Sleep(1100 * time.Millisecond)
			synctest.Wait()
			for name, m := range z.members {
				qt.Assert(t, m.value("a"), qt.Equals, fmt.Sprint(i), qt.Commentf("%s", name))
			}
		}
		reader, others := z.reader()
		// At the start a router may ask before the reader has read.
		qt.Check(t, others <= 2*len(z.members), qt.IsTrue, qt.Commentf("%d calls of others than %s", others, reader))
		qt.Check(t, z.members[reader].view.calls.Load() > 30, qt.IsTrue)
		stop()
		time.Sleep(2 * time.Second)
	})
}

// TestReaderLost guards against routers that go on without news when the one that reads the store is silent, is cut off
// from the store, or ends.
func TestReaderLost(t *testing.T) {
	for name, lose := range map[string]func(z *zone, reader string){
		"silent": func(z *zone, reader string) {
			z.mu.Lock()
			defer z.mu.Unlock()
			z.silent[reader] = true
		},
		"ended": func(z *zone, reader string) {
			for peer, m := range z.members {
				if peer != reader {
					m.Unlink(reader)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				z := newZone(ctx, 5)
				time.Sleep(5 * time.Second)
				reader, _ := z.reader()
				lose(z, reader)
				z.store.write("new")
				time.Sleep(2500 * time.Millisecond)
				synctest.Wait()
				for peer, m := range z.members {
					qt.Check(t, m.value("a"), qt.Equals, "new", qt.Commentf("%s", peer))
				}
				stop()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestReaderCutOff guards against records that count as fresh although the router that read them no longer reaches the store,
// and against a router that goes without news although others reach the store.
// The clock that goes on while a host is suspended has no virtual form, so this test takes real time.
func TestReaderCutOff(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	z := newZone(ctx, 3)
	time.Sleep(1500 * time.Millisecond)
	reader, _ := z.reader()
	z.members[reader].view.cut.Store(true)
	cut := boottime.Now()
	z.store.write("new")
	// Records count as too old after 1.7 s, a question is held for 1 s, and a router that could not help is asked again after 1 s.
	time.Sleep(4 * time.Second)
	for peer, m := range z.members {
		qt.Check(t, m.value("a"), qt.Equals, "new", qt.Commentf("%s", peer))
		m.mu.Lock()
		qt.Check(t, m.confirmed > cut, qt.IsTrue, qt.Commentf("%s", peer))
		m.mu.Unlock()
	}
}
