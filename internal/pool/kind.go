package pool

// kind is what the placement of a run depends on.
type kind struct {
	// apart is set for a suspect, which shares no target with another one.
	apart bool
	// short is set if the class may use the extra slots of a target. Lent slots and runs of unknown classes do not.
	short bool
}
