// Package registration changes entries of the emulated host list.
package registration
