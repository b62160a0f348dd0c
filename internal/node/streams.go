package node

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/suspect"
)

// Positions returns the log streams to read and the offsets to read from.
func (n *Node) Positions() []message.Position {
	positions := n.store.Positions()
	positions = append(positions, n.suspects.Positions()...)
	return append(positions, n.batcher.Positions()...)
}

// Page handles a page that was read from a log stream.
func (n *Node) Page(now time.Time, stream string, page external.Page) {
	switch stream {
	case config.Stream:
		n.store.Page(now, stream, page)
		n.applyConfigChange(now)
	case suspect.Stream:
		n.suspects.Page(now, stream, page)
	default:
		n.batcher.Page(now, stream, page)
	}
}

// ReadFailed records that a log stream could not be read.
func (n *Node) ReadFailed(now time.Time, stream string) {
	switch stream {
	case config.Stream:
		n.store.ReadFailed(now, stream)
	case suspect.Stream:
		n.suspects.ReadFailed(now, stream)
	default:
		n.batcher.ReadFailed(now, stream)
	}
}
