package origin

import (
	"maps"
	"slices"
	"time"
)

// buildRetention is how long after its last target a build counts as one at which streams may have begun.
const buildRetention = 30 * time.Second

// doubtTime is how long a build may be without targets before its mark is written again: shorter than buildRetention by more than the lists
// of two routers may differ in age.
const doubtTime = 10 * time.Second

// Builds remembers which builds the targets of each service have, or had until recently, and which are marked in the store. A build is
// marked before a stream begins at it, so that a router that has just started knows every build of which streams may be taken up.
type Builds struct {
	// lastListed holds the time at which each build was last listed.
	lastListed map[Origin]time.Time
	// current holds the number of listed targets of each build.
	current map[Origin]int
	// listedSince is the time of the first list, zero before it.
	listedSince time.Time
	// marked holds the time at which this router learned of the mark of each build.
	marked map[Origin]time.Time
	// doubtful holds the marked builds that were without targets for so long that another router may be removing the mark.
	doubtful map[Origin]bool
}

// NewBuilds returns the builds of services without targets and marks.
func NewBuilds() *Builds {
	return &Builds{lastListed: make(map[Origin]time.Time), marked: make(map[Origin]time.Time), doubtful: make(map[Origin]bool)}
}

// Set replaces the builds that the listed targets have.
func (b *Builds) Set(now time.Time, listed []Origin) {
	if b.listedSince.IsZero() {
		b.listedSince = now
	}
	for build := range b.current {
		b.lastListed[build] = now
	}
	b.current = make(map[Origin]int, len(listed))
	for _, build := range listed {
		if b.mayLoseMark(now, build) {
			b.doubtful[build] = true
		}
		b.current[build]++
		b.lastListed[build] = now
	}
	maps.DeleteFunc(b.lastListed, func(build Origin, _ time.Time) bool { return !b.recentlyListed(now, build) })
}

// recentlyListed reports whether targets have a build, or had it until recently.
func (b *Builds) recentlyListed(now time.Time, build Origin) bool {
	last, found := b.lastListed[build]
	return b.current[build] > 0 || found && now.Sub(last) < buildRetention
}

// mayLoseMark reports whether a marked build was without targets until now for so long that a router with a slightly older list may be
// removing its mark.
func (b *Builds) mayLoseMark(now time.Time, build Origin) bool {
	since, marked := b.marked[build]
	absentSince, found := b.lastListed[build]
	if !found {
		absentSince = b.listedSince
	}
	return marked && now.Sub(since) >= doubtTime && now.Sub(absentSince) >= doubtTime
}

// MarkWritten records that this router has marked a build in the store.
func (b *Builds) MarkWritten(now time.Time, build Origin) {
	delete(b.doubtful, build)
	b.Mark(now, build)
}

// Mark records that a build is marked in the store.
func (b *Builds) Mark(now time.Time, build Origin) {
	if _, found := b.marked[build]; !found {
		b.marked[build] = now
	}
}

// Unmark records that the mark of a build was removed from the store.
func (b *Builds) Unmark(build Origin) {
	delete(b.marked, build)
	delete(b.doubtful, build)
}

// ResetMarks replaces the marked builds. It returns those that have lost their mark although streams of them may be taken up: the store
// has come back from an older copy.
func (b *Builds) ResetMarks(now time.Time, marked []Origin) (lost []Origin) {
	previous := b.marked
	b.marked = make(map[Origin]time.Time, len(marked))
	for _, build := range marked {
		b.marked[build] = now
		if since, found := previous[build]; found {
			b.marked[build] = since
		}
	}
	for build := range previous {
		if _, found := b.marked[build]; !found && b.recentlyListed(now, build) {
			lost = append(lost, build)
		}
	}
	return lost
}

// IsMarked reports whether a build is marked, and its mark is not being removed.
func (b *Builds) IsMarked(build Origin) bool {
	_, found := b.marked[build]
	return found && !b.doubtful[build]
}

// HasOtherMark reports whether another build of the same service is marked, whether targets have it or not.
func (b *Builds) HasOtherMark(build Origin) bool {
	for marked := range b.marked {
		if marked.Service == build.Service && marked != build {
			return true
		}
	}
	return false
}

// servesHalf reports whether at least half of the listed targets of a service have a build.
func (b *Builds) servesHalf(build Origin) bool {
	total := 0
	for listed, count := range b.current {
		if listed.Service == build.Service {
			total += count
		}
	}
	return b.current[build] > 0 && 2*b.current[build] >= total
}

// Outdated returns the marked builds that no target has had for so long that none of their streams can be taken up. A router counts from
// its first list of targets and from when it learned of the mark.
func (b *Builds) Outdated(now time.Time) []Origin {
	var outdated []Origin
	for build, since := range b.marked {
		if b.listedSince.After(since) {
			since = b.listedSince
		}
		if !b.listedSince.IsZero() && !b.recentlyListed(now, build) && now.Sub(since) >= buildRetention {
			outdated = append(outdated, build)
		}
	}
	return outdated
}

// Of returns the builds of a service at which streams may have begun that can be taken up, in order: those that its targets have or had
// until recently, and the marked ones.
func (b *Builds) Of(now time.Time, service string) []string {
	found := make(map[string]bool)
	for build := range b.lastListed {
		if build.Service == service && b.recentlyListed(now, build) {
			found[build.Build] = true
		}
	}
	for build := range b.marked {
		if build.Service == service {
			found[build.Build] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// SharedServices returns the services that have several builds at which streams may have begun.
func (b *Builds) SharedServices(now time.Time) []string {
	builds := make(map[Origin]bool)
	for build := range b.lastListed {
		builds[build] = b.recentlyListed(now, build)
	}
	for build := range b.marked {
		builds[build] = true
	}
	counts := make(map[string]int)
	for build, counted := range builds {
		if counted {
			counts[build.Service]++
		}
	}
	maps.DeleteFunc(counts, func(_ string, count int) bool { return count < 2 })
	return slices.Sorted(maps.Keys(counts))
}
