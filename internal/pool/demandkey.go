package pool

// demandKey identifies a waiting request by its entry router and its number there.
type demandKey struct {
	entry   string
	request uint64
}
