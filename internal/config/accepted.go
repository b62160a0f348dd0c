package config

// AcceptedChange is a change that took effect.
type AcceptedChange struct {
	// ID is the change's id.
	ID string `json:"id"`
	// Version is the version that the change made.
	Version uint64 `json:"version"`
	// Hash is a hash of the change.
	Hash uint64 `json:"sum"`
}
