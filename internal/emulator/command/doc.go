// Package command implements the command line of the emulator. Each sub-command except register, bookings and put runs one
// emulated system until the context ends, and prints one JSON line with name, role and address when it is ready.
package command
