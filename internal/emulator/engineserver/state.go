package engineserver

// state is the state of a generation.
type state int

// States of a generation.
const (
	// stateOpen is a generation that waits or runs.
	stateOpen state = iota
	// stateDone is one that has all of its tokens.
	stateDone
	// stateCancelled is one that was cancelled.
	stateCancelled
	// stateBroken is one that a crash ended.
	stateBroken
)
