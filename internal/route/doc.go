// Package route holds the routing table of requests that are passed through the fleet unchanged: which service a host name
// and a path belong to, which customers may call it, and how long and how often a request is tried. A table is immutable
// and safe for concurrent use.
package route
