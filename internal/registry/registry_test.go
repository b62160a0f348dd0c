package registry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/registry"
)

var startTime = time.Unix(1000, 0)

// targetNames returns the names of the usable targets in order.
func targetNames(r *registry.Registry) []string {
	all := make([]string, 0, len(r.Targets()))
	for _, target := range r.Targets() {
		all = append(all, target.Name)
	}
	return all
}

// TestRemovalAfterOutage guards against losing all targets because their registrations expired during an outage of the store,
// against using targets that do not register again after it, and against retaining a target that was leaving.
func TestRemovalAfterOutage(t *testing.T) {
	r := registry.New()
	for _, name := range []string{"a", "b", "c"} {
		r.Put(name, dispatch.Target{Name: name, Leaving: name == "c"})
	}
	r.Failed()
	storeUpAt := startTime.Add(5 * time.Second)
	qt.Assert(t, r.Answered(storeUpAt), qt.IsTrue)
	r.RemoveAbsent(storeUpAt, map[string]bool{})
	qt.Check(t, targetNames(r), qt.DeepEquals, []string{"a", "b"})
	r.Put("a", dispatch.Target{Name: "a"})
	qt.Check(t, r.Expire(storeUpAt.Add(1900*time.Millisecond)), qt.HasLen, 0)
	qt.Check(t, r.Expire(storeUpAt.Add(2*time.Second)), qt.DeepEquals, []string{"b"})
	qt.Check(t, targetNames(r), qt.DeepEquals, []string{"a"})
}

// TestRemovalWithoutOutage guards against using a removed target although the store was up, or had been up again for longer than
// the retention period.
func TestRemovalWithoutOutage(t *testing.T) {
	r := registry.New()
	r.Put("a", dispatch.Target{Name: "a"})
	qt.Assert(t, r.Answered(startTime), qt.IsFalse)
	r.Remove(startTime, "a")
	qt.Check(t, targetNames(r), qt.HasLen, 0)
	r.Put("b", dispatch.Target{Name: "b"})
	r.Failed()
	r.Answered(startTime.Add(time.Second))
	r.Remove(startTime.Add(4*time.Second), "b")
	qt.Check(t, targetNames(r), qt.HasLen, 0)
}

// TestOlderCopyListsTargetThatIsGone guards against using a target that had left, because an older copy of the store lists it again, and against
// leaving out one that has written its record since, has started again, or is listed for longer than a record without a writer.
func TestOlderCopyListsTargetThatIsGone(t *testing.T) {
	for _, c := range []struct {
		name   string
		relist func(r *registry.Registry, now time.Time)
		after  time.Duration
		isUsed bool
	}{
		{name: "only the copy lists it", after: 4 * time.Second},
		{name: "it has written its record", relist: func(r *registry.Registry, _ time.Time) {
			r.Put("a", dispatch.Target{Name: "a", StartUnixMilli: 1})
		}, isUsed: true},
		{name: "it has started again", relist: func(r *registry.Registry, now time.Time) {
			r.PutNewest(now, "a", dispatch.Target{Name: "a", StartUnixMilli: 2})
		}, isUsed: true},
		{name: "it is listed for long", after: 5 * time.Second, isUsed: true},
		{name: "its record lapses", relist: func(r *registry.Registry, now time.Time) { r.Remove(now, "a") }, after: time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := registry.New()
			r.PutNewest(startTime, "a", dispatch.Target{Name: "a", StartUnixMilli: 1})
			r.Remove(startTime, "a")
			now := startTime.Add(5 * time.Second)
			r.Restored(now)
			r.PutNewest(now, "a", dispatch.Target{Name: "a", StartUnixMilli: 1})
			qt.Check(t, targetNames(r), qt.HasLen, 0)
			if c.relist != nil {
				c.relist(r, now)
			}
			r.Expire(now.Add(c.after))
			qt.Check(t, targetNames(r), qt.HasLen, map[bool]int{true: 1}[c.isUsed])
		})
	}
}
