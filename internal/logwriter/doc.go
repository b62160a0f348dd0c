// Package logwriter writes log lines in the background, so that a slow output never blocks the caller.
package logwriter
