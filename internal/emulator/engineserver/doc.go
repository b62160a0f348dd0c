// Package engineserver emulates a model engine with continuous batching.
//
// POST /generate starts a call and streams its tokens, one JSON line each. GET /streams/{stream} with from resumes a stream
// at any token index, while it runs and until its retention ends. DELETE of the same path cancels it. GET /load returns the
// load report, which lags, and POST /leaving marks the engine as leaving. A client that disconnects does not cancel its call.
//
// Each request in the batch gets one token per token interval. Requests beyond the number of slots wait in the order of their
// arrival, so that slots and token interval bound the throughput of the engine.
package engineserver
