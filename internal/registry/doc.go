// Package registry holds the targets that have registered in the platform's store.
//
// Registrations can expire during an outage of the store although their targets are still running. The registry therefore keeps
// a target usable for a short time if its record is removed just after an outage, and drops it if it does not register again
// within that time.
package registry
