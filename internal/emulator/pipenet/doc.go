// Package pipenet is a network inside of the process. Its connections block in a way that testing/synctest knows, so
// that servers and clients can be tested together in virtual time.
package pipenet
