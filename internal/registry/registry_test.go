package registry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/registry"
)

var start = time.Unix(1000, 0)

// names returns the names of the usable targets.
func names(r *registry.Registry) []string {
	all := make([]string, 0, len(r.Targets()))
	for _, target := range r.Targets() {
		all = append(all, target.Name)
	}
	return all
}

// TestLapse guards against targets that are lost because their entries lapsed while the store was away, and against ones
// that are used although they did not come back.
func TestLapse(t *testing.T) {
	r := registry.New()
	for _, name := range []string{"a", "b", "c"} {
		r.Put(name, dispatch.Target{Name: name, Leaving: name == "c"})
	}
	r.Failed()
	back := start.Add(5 * time.Second)
	qt.Assert(t, r.Answered(back), qt.IsTrue)
	r.RemoveAbsent(back, map[string]bool{})
	qt.Check(t, names(r), qt.DeepEquals, []string{"a", "b"})
	r.Put("a", dispatch.Target{Name: "a"})
	qt.Check(t, r.Expire(back.Add(1900*time.Millisecond)), qt.HasLen, 0)
	qt.Check(t, r.Expire(back.Add(2*time.Second)), qt.DeepEquals, []string{"b"})
	qt.Check(t, names(r), qt.DeepEquals, []string{"a"})
}

// TestCalm guards against a target that gets requests after it left while the store was well.
func TestCalm(t *testing.T) {
	r := registry.New()
	r.Put("a", dispatch.Target{Name: "a"})
	qt.Assert(t, r.Answered(start), qt.IsFalse)
	r.Remove(start, "a")
	qt.Check(t, names(r), qt.HasLen, 0)
	r.Put("b", dispatch.Target{Name: "b"})
	r.Failed()
	r.Answered(start.Add(time.Second))
	r.Remove(start.Add(4*time.Second), "b")
	qt.Check(t, names(r), qt.HasLen, 0)
}
