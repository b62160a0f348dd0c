package node

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/message"
)

// source is a core that asks for appends.
type source int

// Sources of appends.
const (
	fromStore source = iota
	fromBatcher
	fromSuspects
)

// origin is an append as its core knows it.
type origin struct {
	source source
	id     uint64
}

// appends gives the appends of all cores numbers of one space.
type appends struct {
	last    uint64
	origins map[uint64]origin
}

// newAppends returns an empty table.
func newAppends() appends {
	return appends{origins: make(map[uint64]origin)}
}

// issue returns the append with a number that is unique for the node.
func (a *appends) issue(from source, wanted message.Append) message.Append {
	a.last++
	a.origins[a.last] = origin{source: from, id: wanted.ID}
	wanted.ID = a.last
	return wanted
}

// take returns the origin of an append and forgets it.
func (a *appends) take(id uint64) (origin, bool) {
	found, ok := a.origins[id]
	delete(a.origins, id)
	return found, ok
}

// Appended hands the result of an append to the core that asked for it.
func (n *Node) Appended(now time.Time, id uint64, err error) {
	found, ok := n.appends.take(id)
	if !ok {
		return
	}
	switch found.source {
	case fromStore:
		n.store.Appended(now, found.id, err)
	case fromBatcher:
		n.batcher.Appended(now, found.id, err)
	case fromSuspects:
		n.suspects.Appended(now, found.id, err)
	}
}
