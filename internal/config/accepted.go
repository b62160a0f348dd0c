package config

// AcceptedChange identifies a change that took effect. A state keeps the latest ones to recognize repeated changes.
type AcceptedChange struct {
	// ID is the id of the change.
	ID string `json:"id"`
	// Version is the version of the state that resulted from the change.
	Version uint64 `json:"version"`
	// Hash is the hash of the whole change; it distinguishes a repeated change from another one with the same id.
	Hash uint64 `json:"sum"`
}
