package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/origin"
)

// maxMarkWait limits how long the streams that begin at a build wait for its mark, counted from the first of them.
const maxMarkWait = 500 * time.Millisecond

// takeReading takes a read of all marks.
func (s *streamOrigins) takeReading(reading origin.MarkReading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmations.Take(time.Now(), reading)
}

// hasReading reports whether the marks were read from the store itself.
func (s *streamOrigins) hasReading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.HasReading()
}

// lastReading returns the last read of all marks.
func (s *streamOrigins) lastReading() origin.MarkReading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.Last()
}

// storeRestored records that the store came back from an older copy.
func (s *streamOrigins) storeRestored(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmations.Restored(now)
}

// resetMarks replaces the marked builds.
func (s *streamOrigins) resetMarks(now time.Time, marked []origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lost := range s.builds.ResetMarks(now, marked) {
		s.want(now, lost)
	}
	s.marksLoaded = true
	s.notifyLoaded()
	s.notifyMarksChanged()
	s.wakeMarkWriter()
}

// mark records that a build is marked.
func (s *streamOrigins) mark(now time.Time, build origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.builds.IsMarked(build) {
		return
	}
	s.builds.Mark(now, build)
	if s.builds.IsMarked(build) {
		delete(s.wanted, build)
		s.notifyMarksChanged()
	}
}

// markWritten records that this router has marked a build.
func (s *streamOrigins) markWritten(now time.Time, mark origin.StoredMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.builds.MarkWritten(now, mark.Origin)
	delete(s.wanted, mark.Origin)
	s.notifyMarksChanged()
}

// unmark records that the mark of a build was removed.
func (s *streamOrigins) unmark(build origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.builds.Unmark(build)
}

// awaitMark waits until a build is marked, for maxMarkWait at most. It reports whether the build is marked.
func (s *streamOrigins) awaitMark(ctx context.Context, build origin.Origin) bool {
	for {
		waitUntil, changed := s.needMark(build)
		if changed == nil {
			return true
		}
		timer := time.NewTimer(time.Until(waitUntil))
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return false
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// mayBeginUnmarked reports whether a stream may begin at a build that could not be marked: while another build is marked, an unknown stream
// may go on there.
func (s *streamOrigins) mayBeginUnmarked(build origin.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.marksLoaded {
		return len(s.builds.Of(time.Now(), build.Service)) == 1
	}
	return !s.builds.HasOtherMark(build)
}

// heldTo returns the build at which the new streams of a service have to begin for now, empty if any will do.
func (s *streamOrigins) heldTo(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.HeldTo(time.Now(), s.builds, service)
}

// needMark has a build marked. It returns the time until which a stream should wait for it and a channel that is closed when marks were
// added. The channel is nil if the build is marked.
func (s *streamOrigins) needMark(build origin.Origin) (time.Time, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.marksLoaded && s.builds.IsMarked(build) {
		return time.Time{}, nil
	}
	s.want(time.Now(), build)
	return s.wanted[build], s.marksChanged
}

// want adds a build to the wanted ones. The caller must hold s.mu.
func (s *streamOrigins) want(now time.Time, build origin.Origin) {
	if _, found := s.wanted[build]; !found {
		s.wanted[build] = now.Add(maxMarkWait)
		s.wakeMarkWriter()
	}
}

// wakeMarkWriter wakes the goroutine that writes marks.
func (s *streamOrigins) wakeMarkWriter() {
	select {
	case s.markWanted <- struct{}{}:
	default:
	}
}

// marksToWrite returns the builds to mark. There are none until the marks have been read. A wanted build that no target has had for long is
// forgotten.
func (s *streamOrigins) marksToWrite() (wanted []origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.marksLoaded {
		return nil
	}
	now := time.Now()
	for build := range s.wanted {
		if s.builds.IsMarked(build) || !slices.Contains(s.builds.Of(now, build.Service), build.Build) {
			delete(s.wanted, build)
			continue
		}
		if held := s.confirmations.HeldTo(now, s.builds, build.Service); held == "" || held == build.Build {
			wanted = append(wanted, build)
		}
	}
	return wanted
}

// marksToConfirm returns the builds whose marks are to be confirmed.
func (s *streamOrigins) marksToConfirm() []origin.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.Due(time.Now(), s.builds)
}

// outdatedMarks returns the builds whose marks are outdated. There are none until the marks have been read.
func (s *streamOrigins) outdatedMarks() []origin.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.marksLoaded {
		return nil
	}
	return s.builds.Outdated(time.Now())
}

// notifyMarksChanged wakes those that wait for marks. The caller must hold s.mu.
func (s *streamOrigins) notifyMarksChanged() {
	close(s.marksChanged)
	s.marksChanged = make(chan struct{})
}

// notifyLoaded wakes those that wait for what the store holds, once all of it has been read. The caller must hold s.mu.
func (s *streamOrigins) notifyLoaded() {
	select {
	case <-s.loaded:
	default:
		if s.marksLoaded && s.streamsLoaded {
			close(s.loaded)
		}
	}
}
