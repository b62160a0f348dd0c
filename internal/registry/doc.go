// Package registry holds the targets that have registered in the platform's store.
//
// Registrations can expire during an outage of the store although their targets are still running. The registry therefore keeps
// a target usable for a short time if its record is removed just after an outage: either it registers again within that time, or
// it is gone.
package registry
