// Package fault holds the faults of files that operators write, and reads their JSON without loss, so that all faults
// of a file are reported at once.
package fault
