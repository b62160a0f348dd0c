// Package config derives the configuration in force from a log stream of changes, and keeps the routers in agreement
// on it.
//
// The state is a pure function of the records of the stream: all readers of the same records have the same state and
// version. A Change record takes effect only if its base is the current version, its id is new and the resulting state
// is valid; otherwise every reader ignores it. A Snapshot record carries a whole state and the offset at which it was
// taken. It is used only by a reader that has missed expired records and has no higher version; all others ignore it.
//
// Records are JSON objects of the form {"v":1,"change":{...}} or {"v":1,"snapshot":{...}}. A reader stalls at a record
// with a higher format version, since skipping it could give two different states the same version. It continues once a
// peer sends it a state that includes that record, or after an upgrade. Data that cannot be decoded changes nothing.
//
// If all routers have missed expired records, one of them appends a resumed snapshot of its own state after five
// minutes. A resumed snapshot starts a new epoch: its version is the next multiple of 2^32, and every reader uses it.
//
// If every router has lost its state and the log has expired every snapshot, the routers stay not ready until an
// operator appends a resumed snapshot whose offset is the first one that the log keeps.
package config
