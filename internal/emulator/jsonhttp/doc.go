// Package jsonhttp decodes and writes the JSON bodies of the emulated HTTP servers.
package jsonhttp
