package claim

import "time"

// operation is a record that an entry router asked to append. It ends when the fold answers it.
type operation struct {
	record Record
	// from is the router to answer.
	from string
	// flying is set while an append of the record has no result.
	flying bool
	// uncertain is set once an append of the record took effect or may have.
	uncertain bool
	// due is the earliest instant of the next append.
	due time.Time
}

// id returns the identity of the operation.
func (o *operation) id() operationID { return operationID{claim: o.record.Claim, kind: o.record.Kind} }
