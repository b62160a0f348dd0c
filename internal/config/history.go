package config

// HistoryEntry describes one record of the log stream that a store has processed, other than a snapshot.
type HistoryEntry struct {
	// ID, Author and Base are those of the change; they are zero for data that is not a change record.
	ID     string
	Author string
	Base   uint64
	// Version is the version of the state after the record.
	Version uint64
	// Accepted reports whether the change took effect.
	Accepted bool
	// Reason says why the change did not take effect; it is empty if it did.
	Reason string
	// Offset is the log offset of the record.
	Offset uint64
}
