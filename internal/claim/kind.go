package claim

// Kind is what a record of a claim stream says.
type Kind byte

// Kinds of records; the numbers are stored in the log.
const (
	// Claimed asks for a key.
	Claimed Kind = 1
	// Done stores the answer of a claim.
	Done Kind = 2
	// Released gives a claim up whose request was not and will not be sent.
	Released Kind = 3
)
