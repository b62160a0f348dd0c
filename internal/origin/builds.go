package origin

import (
	"maps"
	"slices"
	"time"
)

// buildRetention is how long after its last target a build counts as one at which streams may have begun.
const buildRetention = 30 * time.Second

// Builds remembers which builds the targets of each service have, or had until recently.
type Builds struct {
	// lastListed holds the time at which each build was last listed.
	lastListed map[Origin]time.Time
	current    map[Origin]bool
}

// NewBuilds returns the builds of services without targets.
func NewBuilds() *Builds {
	return &Builds{lastListed: make(map[Origin]time.Time)}
}

// Set replaces the builds that the listed targets have.
func (b *Builds) Set(now time.Time, listed []Origin) {
	for build := range b.current {
		b.lastListed[build] = now
	}
	b.current = make(map[Origin]bool, len(listed))
	for _, build := range listed {
		b.current[build] = true
		b.lastListed[build] = now
	}
	maps.DeleteFunc(b.lastListed, func(build Origin, last time.Time) bool {
		return !b.current[build] && now.Sub(last) >= buildRetention
	})
}

// Of returns the builds that the targets of a service have or had until recently, in order.
func (b *Builds) Of(now time.Time, service string) []string {
	var builds []string
	for build, last := range b.lastListed {
		if build.Service == service && (b.current[build] || now.Sub(last) < buildRetention) {
			builds = append(builds, build.Build)
		}
	}
	slices.Sort(builds)
	return builds
}
