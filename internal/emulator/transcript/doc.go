// Package transcript gives the text that the emulated engine generates for a prompt, so that any client can check an
// answer. It does not depend on the emulator.
package transcript
