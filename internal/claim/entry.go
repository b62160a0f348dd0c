package claim

import "slices"

// maxVoidClaims bounds the remembered void claims of one key. If one is forgotten, a late copy of its record can at worst
// block the key until the key expires.
const maxVoidClaims = 16

// entryBytes is the memory of an entry without its answer, rounded up. BenchmarkKeyTable reports it as heapB/key.
const entryBytes = 210

// entry is the state of one key according to the log.
type entry struct {
	// holdingClaim is the id of the claim that holds the key; empty if none does.
	holdingClaim string
	answer       string
	// deadlineUnixMilli and offset are those of the record of the holding claim.
	deadlineUnixMilli int64
	offset            uint64
	// voidClaims lists the ids of claims that can never hold the key: released ones, and ones that were read while another
	// claim held the key. It is a pointer, nil for most keys, to keep entries small.
	voidClaims *[]string
	customer   uint32
	status     uint32
	bodyHash   [bodyHashSize]byte
	answered   bool
}

// applyClaim applies a claim record at a log offset. The claim holds the key if no other claim does and it is not void.
func (e *entry) applyClaim(record Record, offset uint64) {
	if e.holdingClaim == record.ClaimID || e.isVoid(record.ClaimID) {
		return
	}
	if e.holdingClaim != "" {
		e.addVoidClaim(record.ClaimID)
		return
	}
	e.holdingClaim, e.customer, e.bodyHash = record.ClaimID, record.Customer, truncatedBodyHash(record)
	e.deadlineUnixMilli, e.offset = record.DeadlineUnixMilli, offset
}

// applyDone stores the answer if it is the first one of the claim that holds the key.
func (e *entry) applyDone(record Record) {
	if e.holdingClaim != record.ClaimID || e.answered {
		return
	}
	e.answered, e.status, e.answer = true, record.Status, string(record.Answer)
}

// applyRelease makes a claim void, also if its claim record has not been read yet. A claim with an answer keeps the key.
func (e *entry) applyRelease(claimID string) {
	if e.holdingClaim == claimID {
		if e.answered {
			return
		}
		*e = entry{voidClaims: e.voidClaims}
	}
	if !e.isVoid(claimID) {
		e.addVoidClaim(claimID)
	}
}

// addVoidClaim records that a claim must never hold the key. It forgets the oldest void claim if there are too many.
func (e *entry) addVoidClaim(claimID string) {
	if e.voidClaims == nil {
		e.voidClaims = new([]string)
	}
	if len(*e.voidClaims) >= maxVoidClaims {
		*e.voidClaims = slices.Delete(*e.voidClaims, 0, 1)
	}
	*e.voidClaims = append(*e.voidClaims, claimID)
}

// isVoid reports whether a claim can never hold the key. The receiver may be nil.
func (e *entry) isVoid(claimID string) bool {
	return e != nil && e.voidClaims != nil && slices.Contains(*e.voidClaims, claimID)
}

// truncatedBodyHash returns the first bodyHashSize bytes of the body hash of a record.
func truncatedBodyHash(record Record) (hash [bodyHashSize]byte) {
	copy(hash[:], record.BodyHash)
	return hash
}
