package metric

// IdleCloseReason is the reason why a caller's connection was closed while it was idle. Its text is a label value of the counter of idle closes.
type IdleCloseReason string

// Reasons to close idle connections. Each has a counter.
const (
	// IdleExpired is the end of the time for which a connection is kept.
	IdleExpired IdleCloseReason = "expired"
	// IdleExcess is the end of a connection because too many were open.
	IdleExcess IdleCloseReason = "excess"
	// IdleNoDescriptor is the end of a connection because another one could not be accepted without its descriptor.
	IdleNoDescriptor IdleCloseReason = "no_descriptor"
	// IdleDrained is the end of a connection because the router is about to end.
	IdleDrained IdleCloseReason = "drained"
)

// IdleCloseReasons returns all reasons to close idle connections.
func IdleCloseReasons() []IdleCloseReason {
	return []IdleCloseReason{IdleExpired, IdleExcess, IdleNoDescriptor, IdleDrained}
}

// CountIdleClose counts an idle connection that was closed. An unknown reason is ignored.
func (s *Set) CountIdleClose(reason IdleCloseReason) {
	if counter, found := s.idleCloses[reason]; found {
		counter.Inc(1)
	}
}

// CountCrossedRequest counts a request that arrived after its idle connection had been closed.
func (s *Set) CountCrossedRequest() { s.crossedRequests.Inc(1) }
