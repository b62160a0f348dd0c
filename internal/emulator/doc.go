// Package emulator holds stand-ins for the systems outside of the fleet: log service, host list, model engine and plain
// service, one package each. They are handlers for tests and, through package command, processes. They are never linked
// into the product.
package emulator
