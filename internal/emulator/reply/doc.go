// Package reply reads and writes the JSON bodies of the emulated systems.
package reply
