// Package gateway implements the process that passes HTTP requests through to targets: it reads a request, finds its route
// and customer, waits for a target, and relays the target's response to the caller. Package dispatch decides which target
// gets a request, or that none does. A Codec maps the headers of an external interface to the types of this package.
package gateway
