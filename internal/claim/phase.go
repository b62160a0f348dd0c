package claim

// phase is how far the holder is with a claim.
type phase int

const (
	// asking waits for the verdict.
	asking phase = iota
	// held may be sent.
	held
	// sent was permitted to be sent.
	sent
	// storing waits until the answer is stored.
	storing
	// releasing waits until the release is stored. The request was not sent and never will be.
	releasing
	// over needs no further message.
	over
)
