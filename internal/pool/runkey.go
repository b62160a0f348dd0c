package pool

// runKey names a run by its entry router and the grant that it got there.
type runKey struct {
	entry string
	grant uint64
}
