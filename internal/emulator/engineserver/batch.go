package engineserver

import (
	"slices"
	"time"
)

// admit adds a generation and starts the goroutine that steps the batch unless it runs. It returns false if a stream with
// the same id exists.
func (s *Server) admit(g *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[g.id] != nil {
		return false
	}
	s.streams[g.id] = g
	s.waiting = append(s.waiting, g)
	s.fillBatch()
	if !s.stepping {
		s.stepping = true
		go s.runBatch()
	}
	return true
}

// fillBatch moves waiting generations into free slots and updates the load report. The caller holds the lock.
func (s *Server) fillBatch() {
	for len(s.waiting) > 0 && len(s.batch) < s.slots {
		s.batch = append(s.batch, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	s.reporter.SetLoad(len(s.batch), len(s.waiting))
}

// runBatch steps the batch once per token interval until it is empty or the engine is closed. It catches up on late steps,
// unless it is late by more than maxCatchUp, as after a pause of the process.
func (s *Server) runBatch() {
	const maxCatchUp = time.Second
	next := time.Now()
	for {
		next = next.Add(s.tokenInterval)
		if time.Since(next) > maxCatchUp {
			next = time.Now()
		}
		if !s.sleep(time.Until(next)) {
			return
		}
		idle, crashes := s.step(time.Now())
		if crashes {
			s.triggerCrash()
		}
		if idle {
			return
		}
	}
}

// sleep waits for a duration. It returns false if the engine is closed first.
func (s *Server) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closed:
		return false
	}
}

// step produces a token for each generation of the batch. It reports whether the batch is empty afterwards, and whether a
// generation in the batch makes the engine crash, in which case no tokens are produced.
func (s *Server) step(now time.Time) (idle, crashes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.batch, func(g *generation) bool { return g.triggersCrash }) {
		return false, true
	}
	for _, g := range s.batch {
		if g.produceToken(); g.produced == g.transcript.TokenCount() {
			s.endGeneration(g, now, stateDone)
		}
	}
	s.batch = slices.DeleteFunc(s.batch, func(g *generation) bool { return g.state != stateActive })
	s.fillBatch()
	s.dropExpiredStreams(now)
	s.stepping = len(s.batch) > 0
	return !s.stepping, false
}

// cancel cancels the generation with a stream id if it is still active. It returns false if there is no such stream.
func (s *Server) cancel(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.streams[id]
	if g == nil {
		return false
	}
	if g.state == stateActive {
		s.endGeneration(g, time.Now(), stateCancelled)
		same := func(other *generation) bool { return other == g }
		s.batch = slices.DeleteFunc(s.batch, same)
		s.waiting = slices.DeleteFunc(s.waiting, same)
		s.fillBatch()
	}
	return true
}

// endGeneration ends a generation and keeps it for resumption. The caller holds the lock.
func (s *Server) endGeneration(g *generation, now time.Time, endState state) {
	g.end(now, endState)
	s.endedStreams = append(s.endedStreams, g)
}

// dropExpiredStreams drops the streams that ended longer ago than the retention. The caller holds the lock.
func (s *Server) dropExpiredStreams(now time.Time) {
	for len(s.endedStreams) > 0 && now.Sub(s.endedStreams[0].endedAt) > s.streamRetention {
		delete(s.streams, s.endedStreams[0].id)
		s.endedStreams = s.endedStreams[1:]
	}
}

// triggerCrash calls onCrash, if it is set, and then Crash.
func (s *Server) triggerCrash() {
	if s.onCrash != nil {
		s.onCrash()
	}
	s.Crash()
}

// Close breaks off all streams as Crash does and stops the engine for good: later calls get no tokens.
func (s *Server) Close() error {
	s.Crash()
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

// Leave marks the engine as leaving in its load reports. It still admits calls that arrive.
func (s *Server) Leave() { s.reporter.Leave() }

// Crash breaks off and drops all streams and begins a new incarnation, as a crash and a restart of the process do.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, g := range s.streams {
		if g.state == stateActive {
			g.end(now, stateCrashed)
		}
	}
	clear(s.streams)
	s.batch, s.waiting, s.endedStreams = nil, nil, nil
	s.reporter.Restart()
}
