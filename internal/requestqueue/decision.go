package requestqueue

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Decision reports that a waiting request was granted a slot of a target, or was refused. A refusal is final.
type Decision struct {
	// RequestID is the ID that Submit returned.
	RequestID uint64
	// Target is the name of the granted target, empty for a refusal.
	Target string
	// GrantNumber is the number of the grant, unique within the scheduler's incarnation.
	GrantNumber uint64
	// GrantDeadline is the time after which the grant must not be used. It is not the caller's deadline.
	GrantDeadline time.Time
	// Refusal is the reason if the request was refused without having run, nil for a grant.
	Refusal *refusal.Error
}
