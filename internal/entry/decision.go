package entry

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Decision is what becomes of one request: a grant, or a refusal, which is final.
type Decision struct {
	// RequestID is the number that Submit returned.
	RequestID uint64
	// Target is the granted target.
	Target string
	// GrantNumber is the number of the grant.
	GrantNumber uint64
	// GrantDeadline is the instant after which the grant must not be used.
	GrantDeadline time.Time
	// Refusal is set if the request was refused; it did not run.
	Refusal *refusal.Error
}
