// Package claim runs a keyed request at most once.
//
// The claims of a key stand in a log stream; the fold of the stream says which claim holds the key. A Batcher appends
// claims for the whole fleet and answers from what it read back. A Holder at the entry router asks for a claim and
// permits to send once it holds the key. The fold depends on nothing but the content of the log, so two batchers of one
// shard agree on every holder.
package claim
