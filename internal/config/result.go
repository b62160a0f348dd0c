package config

// Outcome is what became of a published change.
type Outcome string

// Outcomes of a published change.
const (
	// Published is a change that took effect.
	Published Outcome = "published"
	// Repeated is a change that had taken effect before it was published here.
	Repeated Outcome = "repeated"
	// Stale is a change that does not build on the current version and never takes effect.
	Stale Outcome = "stale"
	// Invalid is a change that never takes effect because of its content.
	Invalid Outcome = "invalid"
	// Unavailable is a change that was not appended, since the log did not act.
	Unavailable Outcome = "unavailable"
	// Unsettled is a change that was not read back in time: it may have taken effect, or may do so later.
	Unsettled Outcome = "unsettled"
)

// Result is the outcome of one call of Publish.
type Result struct {
	// Ticket is the number that Publish returned.
	Ticket uint64
	// Outcome is what became of the change.
	Outcome Outcome
	// Version is the version that the change made, or the current one of a stale change.
	Version uint64
	// Faults are all faults of an invalid change.
	Faults []Fault
}
