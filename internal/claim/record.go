package claim

import "github.com/google/uuid"

// bodyHashSize is the number of bytes of a body hash that are stored and compared. An accidental collision of 128 bits of a
// cryptographic hash is negligibly unlikely.
const bodyHashSize = 16

// Record is one record of a claim stream.
type Record struct {
	// Kind determines which of the fields below are set.
	Kind RecordKind
	// Key is the idempotency key.
	Key uuid.UUID
	// ClaimID identifies the claim in the whole fleet. It consists of host, incarnation and number.
	ClaimID string
	// Customer is the number of the customer, for KindClaim.
	Customer uint32
	// BodyHash is the first 16 bytes of a cryptographic hash of the request body, for KindClaim.
	BodyHash []byte
	// DeadlineUnixMilli is the time from which the request is not sent any more, in Unix milliseconds, for KindClaim.
	DeadlineUnixMilli int64
	// Status is the HTTP status of the answer, for KindDone.
	Status uint32
	// Answer is the body of the answer, for KindDone.
	Answer []byte
}
