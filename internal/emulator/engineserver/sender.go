package engineserver

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/external/wire"
)

// keepAliveInterval is the period of the empty lines that a stream carries between its tokens to show that the engine is
// alive.
const keepAliveInterval = time.Second

// streamTokens streams the tokens of a generation from an index on until it ends or the client disconnects. It closes the
// connection if the engine crashes.
func (s *Server) streamTokens(w http.ResponseWriter, r *http.Request, g *generation, from int64) {
	w.Header().Set(wire.IncarnationHeader, s.reporter.Incarnation())
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		produced, state, changed := s.progress(g)
		if state == stateCrashed {
			panic(http.ErrAbortHandler)
		}
		err := sendTokens(encoder, g, from, produced)
		from = max(from, produced)
		switch state {
		case stateDone:
			_ = encoder.Encode(wire.StreamLine{Index: produced, End: true})
			return
		case stateCancelled:
			_ = encoder.Encode(wire.StreamLine{Error: "cancelled"})
			return
		default:
		}
		if err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// progress returns the number of tokens produced, the state, and a channel that is closed at the next change of the
// generation.
func (s *Server) progress(g *generation) (int64, state, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.produced, g.state, g.changed
}

// sendTokens writes the tokens with indices from <= index < to.
func sendTokens(encoder *json.Encoder, g *generation, from, to int64) error {
	for index := from; index < to; index++ {
		if err := encoder.Encode(wire.StreamLine{Index: index, Text: g.transcript.Token(index)}); err != nil {
			return err
		}
	}
	return nil
}
