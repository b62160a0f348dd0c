package suspect

// Verdict is what the crash records say about a request.
type Verdict string

// Verdicts on requests.
const (
	// VerdictClear means that the request may run anywhere.
	VerdictClear Verdict = "clear"
	// VerdictSuspect means that the request must not share a target with another suspect.
	VerdictSuspect Verdict = "apart"
	// VerdictQuarantined means that the request is refused for good.
	VerdictQuarantined Verdict = "quarantined"
)
