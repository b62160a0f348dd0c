package engineserver

// state is the lifecycle state of a generation.
type state int

// States of a generation.
const (
	// stateActive is a generation that waits for a slot or runs.
	stateActive state = iota
	// stateDone is a generation that produced all of its tokens.
	stateDone
	// stateCancelled is a generation that a client cancelled.
	stateCancelled
	// stateCrashed is a generation that a crash of the engine ended.
	stateCrashed
)
