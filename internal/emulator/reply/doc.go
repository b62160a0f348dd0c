// Package reply decodes and writes the JSON bodies of the emulated HTTP servers.
package reply
