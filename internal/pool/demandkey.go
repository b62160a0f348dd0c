package pool

// demandKey names a waiting request.
type demandKey struct {
	entry   string
	request uint64
}
