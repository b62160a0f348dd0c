package pool

// runAttributes are the properties of a request that decide which slots it may use.
type runAttributes struct {
	// suspect is set if the request is suspected of crashing targets. It must not share a target with another suspect.
	suspect bool
	// short is set if the request's class may use the extra slots of a target. It is not set for lent slots and for runs
	// of unknown classes.
	short bool
}
