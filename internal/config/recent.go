package config

// maxRecent bounds the accepted changes that a store keeps for peers that are a few versions behind. A peer that is
// further behind gets a snapshot.
const maxRecent = 256

// recent holds the last accepted changes without a gap, oldest first.
type recent struct {
	changes []Change
}

// add appends a change that took effect.
func (r *recent) add(change Change) {
	r.changes = append(r.changes, change)
	if len(r.changes) > 2*maxRecent {
		r.changes = append([]Change(nil), r.changes[len(r.changes)-maxRecent:]...)
	}
}

// since returns the changes after a version, or none if they are not all known. Each accepted change has the version
// before it as its base.
func (r *recent) since(version uint64) []Change {
	if len(r.changes) == 0 || version < r.changes[0].Base {
		return nil
	}
	skipped := version - r.changes[0].Base
	if skipped >= uint64(len(r.changes)) {
		return nil
	}
	return r.changes[skipped:]
}
