// Package engineserver emulates a model engine with continuous batching.
//
// POST /generate starts a call and streams its tokens, one JSON line each. GET /streams/{stream} with from attaches to a
// stream at any token, while it runs or for some time after. DELETE of the same path cancels it. GET /load reports the
// load with a lag. A client that disconnects does not cancel.
//
// Each request in the batch gets one token in each interval. Requests beyond the slots wait in the order of their
// arrival, so that the throughput of the engine is bounded by slots and interval.
package engineserver
