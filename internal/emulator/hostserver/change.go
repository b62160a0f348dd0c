package hostserver

import "github.com/chicorydale/chicorydale/internal/external"

// change is one update of the host list.
type change struct {
	name string
	// host is the new entry, or nil if the entry was removed.
	host *external.Host
}
