// Package wholepath tests the fleet as callers, operators and the platform see it: processes of the router and of the
// emulated outside systems on loopback, with processes that are killed, paused and shut down and systems that fail. It
// holds only tests.
package wholepath
