// Package logserver emulates the platform's append-only log service.
//
// POST /streams/{stream}/records appends the body as one record. GET of the same path with from and wait_ms returns a page of
// records from the offset from on, and waits up to wait_ms milliseconds for a record if there is none. Records expire by age.
// The service keeps everything in memory.
package logserver
