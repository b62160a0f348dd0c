package config

// Outcome says what became of a published change.
type Outcome string

// Outcomes of a published change.
const (
	// OutcomePublished means that the change took effect.
	OutcomePublished Outcome = "published"
	// OutcomeRepeated means that the change had already taken effect when Publish was called.
	OutcomeRepeated Outcome = "repeated"
	// OutcomeStale means that the change is not based on the current version and never takes effect.
	OutcomeStale Outcome = "stale"
	// OutcomeInvalid means that the change never takes effect because its content is invalid.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeUnavailable means that the log was unavailable and the change was not appended.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeUnsettled means that the change was not read back in time. It may have taken effect, or may do so later.
	OutcomeUnsettled Outcome = "unsettled"
)

// Result is the result of one call of Store.Publish.
type Result struct {
	// Ticket is the ticket that Publish returned.
	Ticket uint64
	// Outcome is what became of the change.
	Outcome Outcome
	// Version is the version that resulted from the change if it took effect, else the version of the store's state.
	Version uint64
	// Faults are all faults of a change with OutcomeInvalid.
	Faults []Fault
}
