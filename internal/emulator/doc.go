// Package emulator groups emulators of the systems outside of the fleet, one package each: the log service, the host list,
// the store, and targets, which are model engines or plain services. Tests use them as HTTP handlers; package command runs
// them as processes. They are never linked into the product.
package emulator
