package claim

// appendRequestKey identifies an append request. It includes the kind, because a claim can be released while the append of
// its claim record is still pending.
type appendRequestKey struct {
	claimID string
	kind    RecordKind
}
