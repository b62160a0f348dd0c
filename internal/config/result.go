package config

// Outcome is what became of a published change.
type Outcome string

// Outcomes of a published change.
const (
	// OutcomePublished is a change that took effect.
	OutcomePublished Outcome = "published"
	// OutcomeRepeated is a change that had taken effect before it was published here.
	OutcomeRepeated Outcome = "repeated"
	// OutcomeStale is a change that does not build on the current version and never takes effect.
	OutcomeStale Outcome = "stale"
	// OutcomeInvalid is a change that never takes effect because of its content.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeUnavailable is a change that was not appended, since the log did not act.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeUnsettled is a change that was not read back in time: it may have taken effect, or may do so later.
	OutcomeUnsettled Outcome = "unsettled"
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
