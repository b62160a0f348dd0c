// Package fault makes an emulated system fail in the ways that a test sets over HTTP.
package fault
