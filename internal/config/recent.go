package config

// maxRecentChanges bounds the number of accepted changes that are sent to a peer that is a few versions behind. A peer
// that is further behind gets a snapshot.
const maxRecentChanges = 256

// recentChanges holds the latest accepted changes, oldest first and without a gap.
type recentChanges struct {
	changes []Change
}

// add appends a change that took effect. It keeps up to 2*maxRecentChanges changes before it drops the oldest, so that
// they are not copied on every call.
func (r *recentChanges) add(change Change) {
	r.changes = append(r.changes, change)
	if len(r.changes) > 2*maxRecentChanges {
		r.changes = append([]Change(nil), r.changes[len(r.changes)-maxRecentChanges:]...)
	}
}

// since returns the changes that lead from the given version to the latest one, or nil if some of them are no longer
// held. The base of each accepted change is the version before it, so the bases are consecutive.
func (r *recentChanges) since(version uint64) []Change {
	if len(r.changes) == 0 || version < r.changes[0].Base {
		return nil
	}
	index := version - r.changes[0].Base
	if index >= uint64(len(r.changes)) {
		return nil
	}
	return r.changes[index:]
}
