// Package settings defines the settings of one router process, which are read from a JSON file, with defaults and validation.
//
// Settings hold what the process needs before it can read the log: its addresses, its location and its limits.
// Everything that operators change while the fleet runs is configuration, which comes from the log.
package settings
