package external

import (
	"context"
	"time"
)

// InvokeRequest holds the parameters of a call of a plain service. Its tags define the JSON form on the wire.
type InvokeRequest struct {
	// Operation is the name of the operation to run.
	Operation string `json:"operation"`
	// Arguments holds the arguments of the operation by name.
	Arguments map[string]string `json:"arguments"`
	// IdempotencyKey is the caller's idempotency key, empty for idempotent operations. Services are not required to check
	// it.
	IdempotencyKey string `json:"key,omitempty"`
	// FencingToken is the log offset of the claim plus one, zero if there is no claim. Some services refuse a token lower
	// than one they have seen.
	FencingToken uint64 `json:"fence,omitempty"`
	// SendDeadline is the time from which on the call must not be sent, zero for none.
	SendDeadline time.Time `json:"-"`
}

// Service is a replica of a plain service.
type Service interface {
	// Invoke runs an operation and returns its result. An *UnavailableError or *RejectedError means that it did not run; a
	// *CrashedError means that it is unknown whether it ran.
	Invoke(ctx context.Context, request InvokeRequest) (map[string]string, error)
	// LoadReport returns the latest load report of the replica.
	LoadReport(ctx context.Context) (LoadReport, error)
}
