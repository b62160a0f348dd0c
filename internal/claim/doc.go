// Package claim ensures that a request with an idempotency key runs at most once.
//
// Keys are distributed over shards, and each shard has a log stream. A request claims its key by a record in the stream
// of the key's shard. A KeyTable applies the records of a stream in order and so determines which claim holds each key.
// A Claimer at the entry router asks a Batcher to append the claim and authorizes sending the request once the claim
// holds the key. A Batcher appends claims for the whole fleet and answers from the records that it read back. A KeyTable
// depends only on the content of the log, so two batchers of the same shard agree on which claim holds a key.
//
// Claimer, Batcher and KeyTable do no I/O and start no goroutines. Their callers pass in the time and all events, and must
// serialize the calls.
package claim
