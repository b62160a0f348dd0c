package claim

import "time"

// appendRequest is the request of an entry router to append a record. It is pending until it is answered or obsolete.
type appendRequest struct {
	record Record
	// requester is the name of the router that gets the answer.
	requester string
	// inFlight is set while an append of the record has no result yet.
	inFlight bool
	// mayBeInLog is set once an append of the record took effect or may have taken effect.
	mayBeInLog bool
	// nextAppendAt is the earliest time of the next append of the record.
	nextAppendAt time.Time
}

// key returns the key of the request in shardBatcher.pending.
func (r *appendRequest) key() appendRequestKey {
	return appendRequestKey{claimID: r.record.ClaimID, kind: r.record.Kind}
}
