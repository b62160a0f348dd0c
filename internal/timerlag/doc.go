// Package timerlag measures how late the timers of a test's process run, so that the output of a failed test tells whether the process
// got too little processor time.
package timerlag
