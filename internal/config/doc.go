// Package config folds the log stream of configuration changes into the state that is in force.
//
// The state is a pure fold of the stream: each reader of the same records has the same state and version. A Change
// record applies only if its base is the current version, its id is new and the resulting state is valid; otherwise it
// changes nothing, for every reader. A Snapshot record carries a whole state with the offset at which it was taken; it
// is used only by a reader that has missed expired records and has no higher version, and ignored by all others.
//
// Records are JSON objects of the form {"v":1,"change":{...}} or {"v":1,"snapshot":{...}}. A reader stops at a record
// with a higher format version, since skipping it could give two different states the same version. It goes on when a
// peer hands it a state from behind that record, or after an upgrade. Data that is no record at all changes nothing.
//
// If all routers have missed expired records, one of them appends a resumed snapshot of its own state after five
// minutes. It begins a new epoch: its version is the next multiple of 2^32, and every reader uses it.
//
// If every router has lost its state and the log has expired every snapshot, routers stay not ready until an operator
// appends a resumed snapshot whose offset is the first one that the log keeps.
package config
