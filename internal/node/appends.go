package node

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/message"
)

// appendSource identifies the core that asked for an append.
type appendSource int

// Values of appendSource.
const (
	fromStore appendSource = iota
	fromBatcher
	fromSuspects
)

// appendOrigin is the core that asked for an append, and the id that the core gave the append.
type appendOrigin struct {
	source       appendSource
	coreAppendID uint64
}

// appendRegistry assigns ids to the appends of all cores, since the ids of different cores may be equal. It holds the appends
// that have no result yet.
type appendRegistry struct {
	// lastID is the id of the newest append.
	lastID uint64
	// origins holds the origins of the appends by the id that the registry assigned.
	origins map[uint64]appendOrigin
}

// newAppendRegistry returns an empty registry.
func newAppendRegistry() appendRegistry {
	return appendRegistry{origins: make(map[uint64]appendOrigin)}
}

// register returns the request with an id that is unique for the node.
func (a *appendRegistry) register(source appendSource, request message.Append) message.Append {
	a.lastID++
	a.origins[a.lastID] = appendOrigin{source: source, coreAppendID: request.ID}
	request.ID = a.lastID
	return request
}

// take removes an append and returns its origin. It returns false if the id is unknown.
func (a *appendRegistry) take(id uint64) (appendOrigin, bool) {
	origin, ok := a.origins[id]
	delete(a.origins, id)
	return origin, ok
}

// Appended passes the result of an append to the core that asked for it. Results with an unknown id are ignored.
func (n *Node) Appended(now time.Time, id uint64, err error) {
	origin, ok := n.appends.take(id)
	if !ok {
		return
	}
	switch origin.source {
	case fromStore:
		n.store.Appended(now, origin.coreAppendID, err)
	case fromBatcher:
		n.batcher.Appended(now, origin.coreAppendID, err)
	case fromSuspects:
		n.suspects.Appended(now, origin.coreAppendID, err)
	}
}
