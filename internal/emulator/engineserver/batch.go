package engineserver

import (
	"slices"
	"time"
)

// admit adds a generation and starts the batch if it stands still. It returns false if the engine has a stream of this
// id already.
func (s *Server) admit(g *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[g.id] != nil {
		return false
	}
	s.streams[g.id] = g
	s.waiting = append(s.waiting, g)
	s.fill()
	if !s.active {
		s.active = true
		go s.run()
	}
	return true
}

// fill moves waiting generations into free slots and reports the load.
func (s *Server) fill() {
	for len(s.waiting) > 0 && len(s.batch) < s.slots {
		s.batch = append(s.batch, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	s.board.Set(len(s.batch), len(s.waiting))
}

// run steps the batch until it is empty. Steps that are late are made up for, unless the process stood still.
func (s *Server) run() {
	const stall = time.Second
	next := time.Now()
	for {
		next = next.Add(s.interval)
		if time.Since(next) > stall {
			next = time.Now()
		}
		if !s.sleep(time.Until(next)) {
			return
		}
		idle, deadly := s.step(time.Now())
		if deadly {
			s.die()
		}
		if idle {
			return
		}
	}
}

// sleep waits, and returns false if the engine is closed.
func (s *Server) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closed:
		return false
	}
}

// step produces a token for each generation of the batch. It reports whether the batch is empty, and whether a
// generation in it makes the engine crash, in which case nothing is produced.
func (s *Server) step(now time.Time) (idle, deadly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.batch, func(g *generation) bool { return g.deadly }) {
		return false, true
	}
	for _, g := range s.batch {
		if g.advance(); g.produced == g.transcript.TokenCount() {
			s.end(g, now, stateDone)
		}
	}
	s.batch = slices.DeleteFunc(s.batch, func(g *generation) bool { return g.state != stateOpen })
	s.fill()
	s.forget(now)
	s.active = len(s.batch) > 0
	return !s.active, false
}

// cancel ends a generation and returns false if there is none.
func (s *Server) cancel(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.streams[id]
	if g == nil {
		return false
	}
	if g.state == stateOpen {
		s.end(g, time.Now(), stateCancelled)
		same := func(other *generation) bool { return other == g }
		s.batch = slices.DeleteFunc(s.batch, same)
		s.waiting = slices.DeleteFunc(s.waiting, same)
		s.fill()
	}
	return true
}

// end ends a generation and keeps it for resumption.
func (s *Server) end(g *generation, now time.Time, state state) {
	g.end(now, state)
	s.ended = append(s.ended, g)
}

// forget drops the streams that ended long ago.
func (s *Server) forget(now time.Time) {
	for len(s.ended) > 0 && now.Sub(s.ended[0].ended) > s.keep {
		delete(s.streams, s.ended[0].id)
		s.ended = s.ended[1:]
	}
}

// die calls the crash function of the options and then crashes in place.
func (s *Server) die() {
	if s.crash != nil {
		s.crash()
	}
	s.Crash()
}

// Close crashes the engine for good: calls that come later get no tokens.
func (s *Server) Close() error {
	s.Crash()
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Leave marks the engine as leaving in its load reports. It still admits what arrives.
func (s *Server) Leave() { s.board.Leave() }

// Crash breaks off all streams and forgets them, as a crash and a restart of the process do.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, g := range s.streams {
		if g.state == stateOpen {
			g.end(now, stateBroken)
		}
	}
	clear(s.streams)
	s.batch, s.waiting, s.ended = nil, nil, nil
	s.board.Restart()
}
