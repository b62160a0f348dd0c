// Package serviceserver emulates a replica of a plain service.
//
// POST /invoke runs the operation stock, which is idempotent, or book, which is not: each execution adds an entry to the
// bookings. The replica does not check keys itself. GET /bookings shows the entries and their number for each key.
package serviceserver
