package origin

import "time"

const (
	// minSoleTime is how long a service must have had a single build before its mark is confirmed. After an absence of the store, the records
	// of targets are back within two seconds, and a router reads them once a second.
	minSoleTime = 3 * time.Second
	// callerReturnTime is how long after a start of routers callers come back whose streams ended with the earlier ones.
	callerReturnTime = 10 * time.Second
)

// Confirmations decides which marks a router may confirm: those that were the only ones of their service when the store cannot have lost any.
// It also decides which builds wait for their mark, so that a confirmed mark stays the only one while callers come back after the loss of all
// routers.
type Confirmations struct {
	last MarkReading
	// mustRead is set if the store came back since the last reading.
	mustRead bool
	// startedAt is the time of the first reading, eraSince that of the first one in the present era of the store.
	startedAt, eraSince time.Time
	// foundAtStart holds the services that had marks in the first reading: earlier routers began streams there.
	foundAtStart map[string]bool
	// wasRestored is set if the store came back from an older copy since the first reading.
	wasRestored bool
	// soleSince holds the builds that are the only ones of their service, with the time since which they are.
	soleSince map[Origin]time.Time
}

// NewConfirmations returns confirmations of a router that has read no marks.
func NewConfirmations() *Confirmations {
	return &Confirmations{foundAtStart: make(map[string]bool), soleSince: make(map[Origin]time.Time)}
}

// Take takes a reading. Readings must be taken in their order.
func (c *Confirmations) Take(now time.Time, reading MarkReading) {
	switch {
	case c.startedAt.IsZero():
		c.startedAt, c.eraSince = now, now
		for _, mark := range reading.Marks {
			c.foundAtStart[mark.Service] = true
		}
	case reading.Era != c.last.Era:
		c.Restored(now)
	}
	c.last, c.mustRead = reading, false
}

// Restored records that the store came back from an older copy.
func (c *Confirmations) Restored(now time.Time) {
	c.last, c.mustRead, c.eraSince, c.wasRestored = MarkReading{}, true, now, true
}

// HasReading reports whether marks were read.
func (c *Confirmations) HasReading() bool { return !c.startedAt.IsZero() }

// Last returns the last reading, without marks if there is none of this era.
func (c *Confirmations) Last() MarkReading { return c.last }

// Due returns the marks to confirm, after a reading of what the store holds now. It must be called several times a second.
func (c *Confirmations) Due(now time.Time, builds *Builds) []Origin {
	sole := make(map[Origin]time.Time)
	var due []Origin
	for build := range builds.current {
		if len(builds.Of(now, build.Service)) > 1 {
			continue
		}
		since, found := c.soleSince[build]
		if !found {
			since = now
		}
		sole[build] = since
		if now.Sub(since) >= minSoleTime && builds.IsMarked(build) && c.mayConfirm(now, build) {
			due = append(due, build)
		}
	}
	c.soleSince = sole
	return due
}

// mayConfirm reports whether the mark of the only build of a service is to be confirmed and may be: if streams may have begun before this era
// of the store, none of them can be taken up any longer.
func (c *Confirmations) mayConfirm(now time.Time, build Origin) bool {
	if !c.HasReading() || !c.mustRead && (c.last.Era == 0 || c.last.hasConfirmed(build)) {
		return false
	}
	return now.Sub(c.eraSince) >= buildRetention || !c.wasRestored && !c.foundAtStart[build.Service]
}

// HeldTo returns the build at which the new streams of a service have to begin for now, empty if any will do: while callers come back after
// the loss of all routers, no second build is marked, unless most targets have it.
func (c *Confirmations) HeldTo(now time.Time, builds *Builds, service string) string {
	only := Origin{Service: service, Build: c.last.OnlyBuild(service)}
	if only.Build == "" || !c.foundAtStart[service] || now.Sub(c.startedAt) >= callerReturnTime {
		return ""
	}
	if builds.HasOtherMark(only) || !builds.servesHalf(only) || len(builds.Of(now, service)) == 1 {
		return ""
	}
	return only.Build
}
