// Package cmd implements the command line of chicorydale, with one file for each command.
package cmd
