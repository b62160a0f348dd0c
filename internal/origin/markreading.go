package origin

import "slices"

// StoredMark is the mark of a build in the store.
type StoredMark struct {
	Origin

	// ConfirmedEra is the era of the store in which no mark of another build of the service can have been lost, zero if that is not known.
	ConfirmedEra uint64
}

// MarkReading is what the store held at the time of a read of all marks.
type MarkReading struct {
	// Era is the era of the store, zero if it names none.
	Era uint64
	// NextOffset is the offset after the newest record.
	NextOffset uint64
	Marks      []StoredMark
	// Incomplete is set if a record could not be decoded.
	Incomplete bool
}

// OnlyBuild returns the only build of a service at which a stream may have begun that no router knows. It is empty if several builds are
// marked, or if the store may have lost the mark of another one.
func (r MarkReading) OnlyBuild(service string) string {
	found := ""
	for _, mark := range r.Marks {
		switch {
		case mark.Service != service:
		case found != "" || r.Incomplete || r.Era == 0 || mark.ConfirmedEra != r.Era:
			return ""
		default:
			found = mark.Build
		}
	}
	return found
}

// hasConfirmed reports whether the mark of a build is confirmed in the era of the reading.
func (r MarkReading) hasConfirmed(build Origin) bool {
	return slices.Contains(r.Marks, StoredMark{Origin: build, ConfirmedEra: r.Era})
}
