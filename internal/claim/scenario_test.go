package claim_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/platform"
)

func limits() claim.Limits {
	limits := claim.DefaultLimits()
	limits.Window, limits.Skew = 10*time.Second, 100*time.Millisecond
	return limits
}

// assuming is a batcher that takes a lost answer for a failed append.
type assuming struct{ *claim.Batcher }

func (b assuming) Appended(now time.Time, id uint64, err error) {
	if unsettled := (*platform.UnsettledError)(nil); errors.As(err, &unsettled) {
		err = errLost
	}
	b.Batcher.Appended(now, id, err)
}

// forgetful is a batcher that does not see how new the expired records were.
type forgetful struct{ *claim.Batcher }

func (b forgetful) Page(now time.Time, stream string, page platform.Page) {
	if page.First > 0 && page.First == page.End {
		page.First--
		page.Records = []platform.Record{{Offset: page.First, At: time.UnixMilli(0)}}
	} else if page.First > 0 && len(page.Records) > 0 && page.Records[0].Offset == page.First {
		page.Records = slices.Clone(page.Records)
		page.Records[0].At = time.UnixMilli(0)
	}
	b.Batcher.Page(now, stream, page)
}

// owner returns the node that batches a key while all nodes are connected.
func (w *world) owner(key string) *node {
	routers := make([]membership.Router, 0, len(w.nodes))
	for _, n := range w.nodes {
		routers = append(routers, membership.Router{Name: n.name, State: membership.Up})
	}
	name := membership.NewView("", routers, nil).Owner(claim.Role(claim.Shard(uuid.MustParse(key))))
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })]
}

// scenario is one fault; want lists the outcomes of the calls. Without its mechanism the cores break the promise fails.
type scenario struct {
	name    string
	play    func(w *world, key string)
	want    string
	without func(v *variant)
	fails   string
}

var scenarios = []scenario{
	{name: "same key through two routers at once", want: "busy,held", play: func(w *world, key string) {
		w.call(w.nodes[0], key, "a", time.Second)
		w.call(w.nodes[1], key, "a", time.Second)
		w.pass(time.Second)
	}, without: func(v *variant) { v.eager = true }, fails: "ran 2 times"},
	{name: "same key on both sides of a partition", want: "busy,held", play: func(w *world, key string) {
		w.partition("r0")
		w.call(w.nodes[0], key, "a", time.Second)
		w.call(w.nodes[1], key, "a", time.Second)
		w.pass(time.Second)
	}, without: func(v *variant) { v.eager = true }, fails: "ran 2 times"},
	{name: "holder paused past its deadline", want: "busy,unknown,unknown", play: func(w *world, key string) {
		w.sending = 150 * time.Millisecond
		w.call(w.nodes[0], key, "a", 300*time.Millisecond)
		w.until(func() bool { return w.claimed(key) })
		w.nodes[0].paused = true
		w.call(w.nodes[1], key, "a", 200*time.Millisecond)
		w.pass(600 * time.Millisecond)
		w.call(w.nodes[1], key, "a", 200*time.Millisecond)
		w.pass(time.Second)
		w.nodes[0].paused = false
		w.pass(time.Second)
	}, without: func(v *variant) { v.late = true }, fails: "sent after the deadline"},
	{name: "holder killed before sending", want: "busy,none,unknown", play: func(w *world, key string) {
		w.sending = 100 * time.Millisecond
		w.call(w.nodes[0], key, "a", time.Second)
		w.until(func() bool { return w.claimed(key) })
		w.restart(w.nodes[0])
		w.call(w.nodes[1], key, "a", time.Second)
		w.pass(time.Second)
		w.call(w.nodes[1], key, "a", time.Second)
		w.pass(time.Second)
	}, without: func(v *variant) { v.eager = true }, fails: "ran 3 times"},
	{name: "holder killed after sending", want: "none,unknown", play: func(w *world, key string) {
		w.call(w.nodes[0], key, "a", time.Second)
		w.until(func() bool { return len(w.runs[key]) > 0 })
		w.restart(w.nodes[0])
		w.pass(time.Second)
		w.call(w.nodes[1], key, "a", time.Second)
		w.pass(time.Second)
	}, without: func(v *variant) { v.eager = true }, fails: "ran 2 times"},
	{name: "batcher killed with the claim on the way", want: "held,replay", play: func(w *world, key string) {
		n := w.nodes[(slices.Index(w.nodes, w.owner(key))+1)%len(w.nodes)]
		w.call(n, key, "a", time.Second)
		w.pass(3 * step)
		w.restart(w.owner(key))
		w.pass(time.Second)
		w.call(n, key, "a", time.Second)
		w.pass(time.Second)
	}},
	{name: "log down before the append", want: "held,unavailable", play: func(w *world, key string) {
		w.pass(100 * time.Millisecond)
		w.log.mode = refuses
		w.call(w.nodes[0], key, "a", 300*time.Millisecond)
		w.pass(300 * time.Millisecond)
		w.log.mode = works
		w.call(w.nodes[0], key, "a", 2*time.Second)
		w.pass(2 * time.Second)
	}},
	{name: "answer of the append lost", want: "held", play: func(w *world, key string) {
		w.pass(100 * time.Millisecond)
		w.log.mode, w.log.unread = loses, true
		w.call(w.nodes[0], key, "a", time.Second)
		w.pass(100 * time.Millisecond)
		w.log.mode, w.log.unread = works, false
		w.pass(time.Second)
	}},
	{name: "append takes effect after its answer was lost", want: "held,unknown", play: func(w *world, key string) {
		w.pass(100 * time.Millisecond)
		w.log.mode = delays
		w.call(w.nodes[0], key, "a", 300*time.Millisecond)
		w.pass(100 * time.Millisecond)
		w.log.mode = works
		w.pass(time.Second)
		w.call(w.nodes[1], key, "a", time.Second)
		w.pass(time.Second)
	}, without: func(v *variant) {
		v.batcher = func(b *claim.Batcher) batcher { return assuming{b} }
	}, fails: "refused as unavailable, but claimed"},
	{name: "reads fail after the append", want: "unavailable,unknown", play: func(w *world, key string) {
		w.pass(100 * time.Millisecond)
		w.call(w.nodes[0], key, "a", 900*time.Millisecond)
		w.until(func() bool { return w.claimed(key) })
		w.log.unread = true
		w.pass(time.Second)
		w.call(w.nodes[1], key, "a", time.Second)
		w.pass(time.Second)
	}},
	{name: "caller gives up while its request runs", want: "replay,unknown", play: func(w *world, key string) {
		w.call(w.nodes[0], key, "a", time.Second)
		w.until(func() bool { return len(w.runs[key]) > 0 })
		w.abandon(w.nodes[0], w.calls[0])
		w.pass(time.Second)
		w.call(w.nodes[1], key, "a", time.Second)
		w.pass(time.Second)
	}},
	{name: "copy of a refused claim lands after a release", want: "busy,held,unknown", play: func(w *world, key string) {
		w.pass(100 * time.Millisecond)
		w.log.mode, w.sending = delays, time.Minute
		w.call(w.nodes[0], key, "a", 4*time.Second)
		w.pass(50 * time.Millisecond)
		w.log.mode = works
		w.call(w.nodes[1], key, "a", 4*time.Second)
		w.pass(1100 * time.Millisecond)
		w.abandon(w.nodes[1], w.calls[1])
		w.pass(time.Second)
		w.sending = 0
		w.call(w.nodes[2], key, "a", time.Second)
		w.pass(time.Second)
	}},
	{name: "append crawls while reads fail", want: "held", play: func(w *world, key string) {
		w.pass(100 * time.Millisecond)
		w.log.mode = crawls
		w.call(w.nodes[0], key, "a", 2*time.Second)
		w.pass(100 * time.Millisecond)
		w.log.unread = true
		w.pass(time.Second)
		w.log.unread = false
		w.pass(time.Second)
	}},
	{name: "batcher learns late of its role", want: "held,replay", play: func(w *world, key string) {
		owner := w.owner(key)
		n := w.nodes[(slices.Index(w.nodes, owner)+1)%len(w.nodes)]
		w.lagging = owner
		w.restart(owner)
		w.call(n, key, "a", time.Second)
		w.until(func() bool { return len(w.runs[key]) > 0 })
		w.restart(owner)
		w.pass(2 * time.Second)
		w.call(n, key, "a", time.Second)
		w.pass(time.Second)
	}},
	{name: "role leaves and comes back unnoticed", want: "held", play: func(w *world, key string) {
		w.pass(100 * time.Millisecond)
		w.log.unread = true
		w.call(w.nodes[0], key, "a", time.Second)
		w.pass(100 * time.Millisecond)
		w.owner(key).batcher.Locate(w.now, membership.NewView("", nil, nil))
		w.pass(100 * time.Millisecond)
		w.connect()
		w.log.unread = false
		w.pass(time.Second)
	}},
	{name: "key passes its window while the holder is paused", want: "unknown", play: func(w *world, _ string) {
		key := w.key(0, limits().Window-200*time.Millisecond)
		w.sending = 150 * time.Millisecond
		w.call(w.nodes[0], key, "a", 3*time.Second)
		w.until(func() bool { return w.claimed(key) })
		w.pass(100 * time.Millisecond)
		w.nodes[0].paused = true
		w.pass(time.Second)
		w.nodes[0].paused = false
		w.pass(time.Second)
	}, without: func(v *variant) { v.late = true }, fails: "sent after the deadline"},
	{name: "record expired while the caller comes again", want: "expired,held", play: func(w *world, key string) {
		w.call(w.nodes[0], key, "a", time.Second)
		w.pass(11 * time.Second)
		w.log.expire(w.now)
		w.restart(w.owner(key))
		w.call(w.nodes[1], key, "a", time.Second)
		w.pass(time.Second)
	}, without: func(v *variant) {
		v.limits.Window = 1000 * time.Hour
		v.batcher = func(b *claim.Batcher) batcher { return forgetful{b} }
	}, fails: "ran 2 times"},
	{name: "record lost within the window", want: "held,held,unknown", play: func(w *world, key string) {
		w.call(w.nodes[0], key, "a", time.Second)
		w.pass(3 * time.Second)
		w.log.expire(w.now)
		other := uuid.MustParse(w.key(1, 0))
		for claim.Shard(other) != claim.Shard(uuid.MustParse(key)) {
			other[15]++
		}
		w.call(w.nodes[1], other.String(), "b", time.Second)
		w.pass(time.Second)
		w.restart(w.owner(key))
		w.call(w.nodes[1], key, "a", time.Second)
		w.pass(time.Second)
	}, without: func(v *variant) {
		v.batcher = func(b *claim.Batcher) batcher { return forgetful{b} }
	}, fails: "ran 2 times"},
	{name: "same key with another body, then replay", want: "conflict,held,replay", play: func(w *world, key string) {
		w.call(w.nodes[0], key, "a", time.Second)
		w.pass(500 * time.Millisecond)
		w.call(w.nodes[1], key, "b", time.Second)
		w.call(w.nodes[2], key, "a", time.Second)
		w.pass(time.Second)
	}, without: func(v *variant) { v.eager = true }, fails: "ran 3 times"},
}

// TestScenarios guards against a second run of a key, a false "not run", a false replay and a key that stays blocked
// after each single fault. Each scenario that has a mechanism is also played without it, and must fail then.
func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			v := variant{limits: limits()}
			w := newWorld(v, "r0", "r1", "r2")
			s.play(w, w.key(0, 0))
			c.Check(w.violations(), qt.HasLen, 0)
			c.Check(w.outcomes(), qt.Equals, s.want)
			if s.without == nil {
				return
			}
			s.without(&v)
			w = newWorld(v, "r0", "r1", "r2")
			s.play(w, w.key(0, 0))
			c.Check(strings.Join(w.violations(), "; "), qt.Contains, s.fails)
		})
	}
}

// claimed tells whether a claim of a key is in the log.
func (w *world) claimed(key string) bool {
	for _, record := range w.log.streams[claim.Stream(claim.Shard(uuid.MustParse(key)))] {
		if records, _ := claim.Decode(record.Data); len(records) > 0 {
			return true
		}
	}
	return false
}

// until lets time go by until something has happened.
func (w *world) until(happened func() bool) {
	for limit := w.now.Add(time.Minute); !happened() && w.now.Before(limit); {
		w.pass(step)
	}
}

// outcomes returns the sorted outcomes of the calls.
func (w *world) outcomes() string {
	outcomes := make([]string, 0, len(w.calls))
	for _, made := range w.calls {
		outcome := string(made.outcome)
		if !made.answered {
			outcome = "none"
		}
		outcomes = append(outcomes, outcome)
	}
	slices.Sort(outcomes)
	return strings.Join(outcomes, ",")
}
