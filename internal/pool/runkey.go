package pool

// runKey identifies a run by its entry router and the number of its grant.
type runKey struct {
	entry string
	grant uint64
}
