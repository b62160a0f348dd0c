package suspect

// Verdict is the conclusion from the crash records of a request.
type Verdict string

// Verdicts on requests.
const (
	// VerdictClear means that the request has no crash record and may run on any target.
	VerdictClear Verdict = "clear"
	// VerdictSuspect means that the request must not run on the same target as another suspect.
	VerdictSuspect Verdict = "apart"
	// VerdictQuarantined means that the request must be refused until its crash records expire.
	VerdictQuarantined Verdict = "quarantined"
)
