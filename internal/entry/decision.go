package entry

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Decision is what becomes of one request: a grant, or a refusal, which is final.
type Decision struct {
	// Request is the number that Submit returned.
	Request uint64
	// Target is the granted target.
	Target string
	// Grant is the number of the grant.
	Grant uint64
	// Deadline is the instant after which the grant must not be used.
	Deadline time.Time
	// Refusal is set if the request was refused; it did not run.
	Refusal *refusal.Error
}
