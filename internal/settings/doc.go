// Package settings holds the JSON settings of one router process, with their defaults and their checks.
//
// Settings describe what the process must know before it reaches the log: its addresses, its place and its limits.
// Everything that operators change while the fleet runs is configuration, which comes from the log.
package settings
