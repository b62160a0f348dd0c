// Package transcript computes the text that the emulated engine generates for a prompt, so that any client can verify a
// response. It does not depend on the other packages of the emulator.
package transcript
