package config

// HistoryEntry is one change record in the history of a store.
type HistoryEntry struct {
	// ID, Author and Base are those of the change; they are empty for data that is no record.
	ID     string
	Author string
	Base   uint64
	// Version is the version after the record.
	Version uint64
	// Accepted is set if the change took effect.
	Accepted bool
	// Reason says why a change did not take effect.
	Reason string
	// Offset is the record's log offset.
	Offset uint64
}
