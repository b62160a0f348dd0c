package config

// Accepted is a change that took effect.
type Accepted struct {
	// ID is the change's id.
	ID string `json:"id"`
	// Version is the version that the change made.
	Version uint64 `json:"version"`
	// Sum is a hash of the change.
	Sum uint64 `json:"sum"`
}
