package engineserver

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/outside/wire"
)

// aliveInterval is the period of the empty lines that show that the engine is alive.
const aliveInterval = time.Second

// send streams a generation from a token index on.
func (s *Server) send(w http.ResponseWriter, r *http.Request, g *generation, from int64) {
	w.Header().Set(wire.IncarnationHeader, s.board.Incarnation())
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	lines := json.NewEncoder(w)
	alive := time.NewTicker(aliveInterval)
	defer alive.Stop()
	for {
		produced, state, changed := s.look(g)
		if state == stateBroken {
			panic(http.ErrAbortHandler)
		}
		err := sendTokens(lines, g, from, produced)
		from = max(from, produced)
		switch state {
		case stateDone:
			_ = lines.Encode(wire.StreamLine{Index: produced, End: true})
			return
		case stateCancelled:
			_ = lines.Encode(wire.StreamLine{Error: "cancelled"})
			return
		default:
		}
		if err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-alive.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// look returns how far a generation is, and a channel that is closed by its next change.
func (s *Server) look(g *generation) (int64, state, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.produced, g.state, g.changed
}

// sendTokens sends the tokens from an index up to another.
func sendTokens(lines *json.Encoder, g *generation, from, to int64) error {
	for index := from; index < to; index++ {
		if err := lines.Encode(wire.StreamLine{Index: index, Text: g.transcript.Token(index)}); err != nil {
			return err
		}
	}
	return nil
}
