// Package registration provides a client that changes entries of the emulated host list.
package registration
