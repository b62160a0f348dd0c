// Package message defines the messages and requests that the decision cores of a router return to their caller. A decision core
// is a part of a router that does no I/O and reads no clock.
package message
