package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

const (
	// modelStep is the time between two steps of the model.
	modelStep = 50 * time.Millisecond
	// lifetime is how long after its begin a stream is taken up.
	lifetime = 25 * time.Second
)

// modelTopic is how a router of the model sees a topic.
type modelTopic struct {
	*logTopic

	router *modelRouter
}

// ReadNewest implements topiclog.Topic.
func (t modelTopic) ReadNewest(ctx context.Context) (topiclog.Page, error) {
	page, err := t.logTopic.ReadNewest(ctx)
	return page, t.router.answer(err)
}

// Read implements topiclog.Topic.
func (t modelTopic) Read(ctx context.Context, from uint64, deadline time.Time) (topiclog.Page, error) {
	page, err := t.logTopic.Read(ctx, from, deadline)
	return page, t.router.answer(err)
}

// Put implements topiclog.Topic.
func (t modelTopic) Put(ctx context.Context, key string, value []byte) error {
	return t.write(func() error { return t.logTopic.Put(ctx, key, value) })
}

// Append implements topiclog.ConditionalTopic.
func (t modelTopic) Append(ctx context.Context, at uint64, records []topiclog.Record) error {
	return t.write(func() error { return t.logTopic.Append(ctx, at, records) })
}

// write has the store write. While writes are late, they take effect later, and their answers are lost.
func (t modelTopic) write(action func() error) error {
	if lateness := t.router.writesLate(); lateness > 0 {
		go func() {
			time.Sleep(lateness)
			_ = action()
		}()
		return errAway
	}
	return t.router.answer(action())
}

// modelRouter is one router of the model.
type modelRouter struct {
	origins gateway.StreamOrigins
	ctx     context.Context
	kill    context.CancelFunc
	mu      sync.Mutex
	// cutUntil is the time until which no answer of the store arrives, lateUntil that until which its writes take effect late, by lateness.
	cutUntil, lateUntil time.Time
	lateness            time.Duration
	// targets are those that it knows, until listAt, when it reads them again.
	targets []dispatch.Target
	listAt  time.Time
}

// isCut reports whether no answer of the store arrives.
func (r *modelRouter) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.cutUntil)
}

// answer returns the answer of the store unless the router is cut off.
func (r *modelRouter) answer(err error) error {
	if r.isCut() {
		return errAway
	}
	return err
}

// writesLate returns by how much a write takes effect later, zero if it does at once.
func (r *modelRouter) writesLate() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.lateUntil) {
		return r.lateness
	}
	return 0
}

// set changes what the store does for the router.
func (r *modelRouter) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// storeCopy is what the store held at some time: the numbers of records of its topics, and the listed targets.
type storeCopy struct {
	sizes   [3]int
	targets []dispatch.Target
}

// originModel plays routers without links that share a store, and targets of several builds that come and go.
type originModel struct {
	t              *testing.T
	random         *rand.Rand
	builds, stored *logTopic
	// eras is the topic of the settled eras.
	eras    *logTopic
	targets []dispatch.Target
	// copied holds the targets that the store lists until listBackAt, since it came back from an older copy.
	copied     []dispatch.Target
	listBackAt time.Time
	routers    []*modelRouter
	mu         sync.Mutex
	// begun holds the build of each stream that has begun, ids the streams in order with the times of their begin.
	begun   map[string]string
	ids     []string
	begunAt map[string]time.Time
	// copies holds what the store held at each step.
	copies []storeCopy
	// changeAt is the time of the next change of the targets. bannedUntil holds the time until which a build does not come back.
	changeAt time.Time
	// loseAt is the time of the next loss of routers.
	loseAt               time.Time
	bannedUntil          map[string]time.Time
	steps, asked, wentOn int
}

// newOriginModel returns a model with one target of v1 and so many routers.
func newOriginModel(t *testing.T, seed uint64, routers int) *originModel {
	t.Helper()
	m := &originModel{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), builds: &logTopic{era: 1}, stored: &logTopic{era: 1}, eras: &logTopic{era: 1}, begun: make(map[string]string),
		begunAt: make(map[string]time.Time), bannedUntil: make(map[string]time.Time),
	}
	m.setTargets("v1", "v1")
	m.changeAt = time.Now().Add(2*time.Second + m.duration(20*time.Second))
	m.loseAt = m.changeAt.Add(m.duration(time.Minute))
	for range routers {
		m.routers = append(m.routers, m.start())
	}
	return m
}

// setTargets replaces the targets by some of the given builds.
func (m *originModel) setTargets(builds ...string) {
	m.targets = nil
	for i, build := range builds {
		m.targets = append(m.targets, dispatch.Target{Name: fmt.Sprint(i), Service: "m", Build: build})
	}
}

// start returns a router that has just started.
func (m *originModel) start() *modelRouter {
	r := &modelRouter{listAt: time.Now()}
	r.ctx, r.kill = context.WithCancel(m.t.Context())
	r.origins = gateway.NewStreamOrigins(modelTopic{m.builds, r}, modelTopic{m.stored, r}, modelTopic{m.eras, r})
	go r.origins.Follow(r.ctx)
	go r.origins.Load(r.ctx)
	go r.origins.Write(r.ctx)
	return r
}

// end ends all routers and lets what they have begun end.
func (m *originModel) end() {
	for _, r := range m.routers {
		r.kill()
	}
	time.Sleep(time.Minute)
}

// list has the routers read which targets there are.
func (m *originModel) list() {
	isAway := false
	m.builds.set(func() { isAway = m.builds.isAway })
	if isAway {
		return
	}
	for _, r := range m.routers {
		if now := time.Now(); !now.Before(r.listAt) && !r.isCut() {
			r.targets, r.listAt = m.listed(), now.Add(time.Second)
			r.origins.SetTargets(r.targets...)
		}
	}
}

// listed returns the targets that the store lists.
func (m *originModel) listed() []dispatch.Target {
	if time.Now().Before(m.listBackAt) {
		return m.copied
	}
	return m.targets
}

// topics returns the topics of the store.
func (m *originModel) topics() []*logTopic { return []*logTopic{m.builds, m.stored, m.eras} }

// copyStore remembers what the store holds now.
func (m *originModel) copyStore() {
	held := storeCopy{targets: m.listed()}
	for i, topic := range m.topics() {
		held.sizes[i] = topic.count()
	}
	m.copies = append(m.copies, held)
}

// begin has a stream begin at a router, at the first of its targets in an order at which it may.
func (m *originModel) begin(r *modelRouter, order []int) {
	m.steps++
	id := fmt.Sprint("s", m.steps)
	var targets []dispatch.Target
	for _, i := range order {
		if i < len(r.targets) {
			targets = append(targets, r.targets[i])
		}
	}
	if len(targets) == 0 {
		return
	}
	go func() {
		if build := r.origins.BeginStream(r.ctx, id, targets...); build != "" {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.begun[id], m.begunAt[id] = build, time.Now()
			m.ids = append(m.ids, id)
		}
	}()
}

// takeUp has the caller of a stream take it up at a router, and checks that it does not go on at another build.
func (m *originModel) takeUp(r *modelRouter, id string) {
	go func() {
		at := r.origins.GoOn(r.ctx, "m", id)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.asked++
		if at != "" {
			m.wentOn++
			qt.Check(m.t, at, qt.Equals, m.begun[id], qt.Commentf("stream %s, begun at %v, goes on at %v", id, m.begunAt[id], time.Now()))
		}
	}()
}

// resetCounts forgets how many streams were taken up and went on.
func (m *originModel) resetCounts() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked, m.wentOn = 0, 0
}

// recent returns a stream that may still be taken up, empty if there is none.
func (m *originModel) recent() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.ids) > 0 && time.Since(m.begunAt[m.ids[0]]) > lifetime {
		m.ids = m.ids[1:]
	}
	if len(m.ids) == 0 {
		return ""
	}
	return m.ids[m.random.IntN(len(m.ids))]
}

// oneIn reports true once in so many calls.
func (m *originModel) oneIn(n int) bool { return m.random.IntN(n) == 0 }

// duration returns a random time up to a limit.
func (m *originModel) duration(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// loseRouters kills one router, or all at the same moment, and starts others later. Meanwhile the targets may change, and the store may come
// back from an older copy.
func (m *originModel) loseRouters(isRestored bool) {
	from, to := 0, len(m.routers)
	if m.oneIn(3) {
		from = m.random.IntN(to)
		to = from + 1
	}
	for _, r := range m.routers[from:to] {
		r.kill()
	}
	time.Sleep(m.duration(2 * time.Second))
	switch {
	case isRestored && m.oneIn(2):
		m.restore()
	case m.oneIn(2):
		m.changeTargets(!isRestored)
	}
	for i := from; i < to; i++ {
		m.routers[i] = m.start()
	}
}

// changeTargets begins a release of another build, goes on with it, or ends it: one of the builds stays. No build leaves unless mayLeave is set,
// since an unknown stream goes on at the only build of a service. A build that has left comes back soon, or when its mark is being removed.
func (m *originModel) changeTargets(mayLeave bool) {
	now := time.Now()
	m.changeAt = now.Add(m.duration([]time.Duration{2 * time.Second, 8 * time.Second, 45 * time.Second}[m.random.IntN(3)]))
	first, last := m.targets[0].Build, m.targets[len(m.targets)-1].Build
	switch next := fmt.Sprint("v", 1+m.random.IntN(3)); {
	case first == last && now.Before(m.bannedUntil[next]):
	case first == last:
		m.setTargets(first, first, next)
		m.loseAt = now.Add(m.duration(3 * time.Second))
	case mayLeave && m.oneIn(2):
		if m.oneIn(2) {
			first, last = last, first
		}
		m.setTargets(first, first)
		m.bannedUntil[last] = now.Add([]time.Duration{0, 12 * time.Second, 30 * time.Second, 32 * time.Second}[m.random.IntN(4)])
	default:
		m.setTargets(first, last, last, last)
	}
}

// troubleStore has the store fail in one way or another, also for one router alone.
func (m *originModel) troubleStore() {
	r, now := m.routers[m.random.IntN(len(m.routers))], time.Now()
	switch m.random.IntN(6) {
	case 0:
		until := now.Add(m.duration(6 * time.Second))
		r.set(func() { r.cutUntil = until })
	case 1:
		until, lateness := now.Add(m.duration(6*time.Second)), m.duration(4*time.Second)
		r.set(func() { r.lateUntil, r.lateness = until, lateness })
	case 2:
		loses := m.oneIn(2)
		m.builds.set(func() { m.builds.losesAnswers = loses })
	case 3:
		delay := m.duration(300 * time.Millisecond)
		m.builds.set(func() { m.builds.putDelay = delay })
	case 4:
		rejects := m.oneIn(2)
		m.builds.set(func() { m.builds.rejectsWrites = rejects })
	case 5:
		away := m.oneIn(3)
		m.setAway(away)
	}
}

// setAway sets whether the store answers nobody.
func (m *originModel) setAway(away bool) {
	for _, topic := range m.topics() {
		topic.set(func() { topic.isAway = away })
	}
}

// restore has the store come back from a copy that is up to three seconds old. The targets write their records again within two seconds.
func (m *originModel) restore() {
	last := max(len(m.copies)-1-m.random.IntN(60), 0)
	held := m.copies[last]
	m.copies = m.copies[:last+1]
	for i, topic := range m.topics() {
		topic.set(func() {
			topic.records = topic.records[:held.sizes[i]]
			topic.era++
		})
	}
	m.copied, m.listBackAt = held.targets, time.Now().Add(m.duration(2*time.Second))
}

// step plays one step. The store comes back from older copies if isRestored is set, and otherwise builds leave.
func (m *originModel) step(isRestored bool) {
	m.list()
	m.copyStore()
	for range 1 + m.random.IntN(2) {
		m.begin(m.routers[m.random.IntN(len(m.routers))], m.random.Perm(8))
	}
	for range 4 {
		if id := m.recent(); id != "" {
			m.takeUp(m.routers[m.random.IntN(len(m.routers))], id)
		}
	}
	switch {
	case time.Now().After(m.changeAt):
		m.changeTargets(!isRestored)
	case time.Now().After(m.loseAt):
		m.loseAt = time.Now().Add(m.duration(time.Minute))
		m.loseRouters(isRestored)
	case m.oneIn(30) && m.steps > 200:
		m.troubleStore()
	case isRestored && m.oneIn(120):
		m.restore()
	}
	time.Sleep(modelStep)
}

// runFor has streams begin at all routers, at the last target at which they may.
func (m *originModel) runFor(length time.Duration) {
	for endsAt := time.Now().Add(length); time.Now().Before(endsAt); time.Sleep(modelStep) {
		m.list()
		for _, r := range m.routers {
			m.begin(r, []int{2, 1, 0})
		}
	}
}

// TestStreamsGoOnThoughReleaseBeganUnseen guards against streams that are refused for good since a second build appeared while no router was
// there, at which no stream can have begun.
func TestStreamsGoOnThoughReleaseBeganUnseen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newOriginModel(t, 0, 2)
		defer m.end()
		m.runFor(5 * time.Second)
		for _, r := range m.routers {
			r.kill()
		}
		synctest.Wait()
		broken := m.ids
		time.Sleep(time.Second)
		m.setTargets("v1", "v1", "v2")
		m.routers = []*modelRouter{m.start(), m.start()}
		for _, pause := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second} {
			m.runFor(pause)
			for i, id := range broken {
				m.takeUp(m.routers[i%2], id)
			}
		}
		synctest.Wait()
		m.runFor(5 * time.Second)
		synctest.Wait()
		qt.Check(t, len(broken) > 100, qt.IsTrue)
		qt.Check(t, m.wentOn, qt.Equals, 3*len(broken))
		qt.Check(t, m.begun[m.ids[len(m.ids)-1]], qt.Equals, "v2", qt.Commentf("streams are held back from a new build for long"))
	})
}

// TestStreamsAfterRestoreAndLossOfAllRouters guards against streams that are joined, since the store came back from a copy that has neither the mark
// nor the targets of the build that began them while all routers were lost, and against streams that are refused for good although their service
// has had one build only.
func TestStreamsAfterRestoreAndLossOfAllRouters(t *testing.T) {
	for _, builds := range [][]string{{"v1", "v1", "v2"}, {"v1", "v1"}} {
		synctest.Test(t, func(t *testing.T) {
			m := newOriginModel(t, 0, 3)
			defer m.end()
			m.runFor(5 * time.Second)
			m.copyStore()
			m.setTargets(builds...)
			m.runFor(4 * time.Second)
			for _, r := range m.routers {
				r.kill()
			}
			synctest.Wait()
			broken := m.ids
			m.setAway(true)
			m.routers = []*modelRouter{m.start(), m.start(), m.start()}
			time.Sleep(500 * time.Millisecond)
			m.restore()
			m.setAway(false)
			m.listBackAt = time.Now().Add(1900 * time.Millisecond)
			for range 8 {
				m.runFor(500 * time.Millisecond)
				synctest.Wait()
				m.resetCounts()
				for i, id := range broken {
					m.takeUp(m.routers[i%3], id)
				}
				synctest.Wait()
			}
			qt.Check(t, len(broken) > 100, qt.IsTrue)
			qt.Check(t, m.wentOn, qt.Equals, map[int]int{2: len(broken)}[len(builds)])
		})
	}
}

// TestLateEndOfMarkKeepsNewerMark guards against a build that comes back without its mark, since the removal of that took effect late.
func TestLateEndOfMarkKeepsNewerMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newOriginModel(t, 0, 2)
		defer m.end()
		m.runFor(time.Second)
		m.setTargets("v1", "v1", "v2")
		m.runFor(2 * time.Second)
		marks := len(newestOf(m.builds.newest()))
		m.setTargets("v1", "v1")
		m.runFor(29 * time.Second)
		for _, r := range m.routers {
			r.set(func() { r.lateUntil, r.lateness = time.Now().Add(3*time.Second), 4*time.Second })
		}
		m.runFor(3 * time.Second)
		m.setTargets("v1", "v1", "v2")
		m.runFor(time.Second)
		time.Sleep(4 * time.Second)
		qt.Check(t, marks, qt.Equals, 2)
		qt.Check(t, newestOf(m.builds.newest()), qt.HasLen, marks)
	})
}
