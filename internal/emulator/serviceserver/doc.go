// Package serviceserver emulates a target that serves a plain service.
//
// POST /invoke runs the operation stock, which is idempotent, or book, which is not: each execution adds a booking. The target
// does not deduplicate calls by their idempotency keys. GET /bookings returns the bookings and their number for each key.
// GET /load returns the load report, and POST /leaving marks the target as leaving.
package serviceserver
