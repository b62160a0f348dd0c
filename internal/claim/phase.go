package claim

// claimPhase is the progress of an open claim at its Claimer.
type claimPhase int

const (
	// phaseClaiming waits for the verdict of a batcher.
	phaseClaiming claimPhase = iota
	// phaseHeld holds the key; its request may be sent.
	phaseHeld
	// phaseSent waits for the answer of the target, once AuthorizeSend has permitted sending the request.
	phaseSent
	// phaseStoring waits until a batcher confirms that the answer is stored.
	phaseStoring
	// phaseReleasing waits until a batcher confirms that the release is stored. The request did not run and will not be sent.
	phaseReleasing
	// phaseClosed needs no further message. The next Tick removes the claim.
	phaseClosed
)
