// Package e2e contains the end-to-end tests of the fleet through its external interfaces. The tests run routers and
// emulators of the external systems as processes on loopback; they kill, pause and shut down processes and inject faults
// into the external systems. The package has no code outside of its tests.
package e2e
