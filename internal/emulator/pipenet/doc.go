// Package pipenet provides an in-process network of net.Pipe connections. Package testing/synctest treats goroutines that wait
// on them as durably blocked, so that servers and clients can be tested together in virtual time.
package pipenet
