package suspect

// Verdict is what the crash records say about a request.
type Verdict string

// Verdicts on requests.
const (
	// Clear means that the request may run anywhere.
	Clear Verdict = "clear"
	// Apart means that the request must not share a target with another suspect.
	Apart Verdict = "apart"
	// Quarantined means that the request is refused for good.
	Quarantined Verdict = "quarantined"
)
