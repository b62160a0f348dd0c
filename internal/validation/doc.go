// Package validation describes the faults of files that operators write, and parses their JSON so that repeated names are kept.
// Callers collect the faults and report all of them at once.
package validation
