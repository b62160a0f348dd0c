package targetserver

import (
	"io"
	"net/http"
	"strings"
)

// maxEndlessBytes is the number of bytes after which an endless event ends all the same, so that a router that reads all of them does not
// take all memory of the machine.
const maxEndlessBytes = 256 << 20

// sendEndlessEvent sends an event without end until the caller closes the connection.
func (s *Server) sendEndlessEvent(w http.ResponseWriter) {
	w.Header().Set("X-Replica-Seal", "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	text := "data: " + strings.Repeat("x", 4000) + "\n"
	sent := 0
	for sent < maxEndlessBytes {
		n, err := io.WriteString(w, text)
		sent += n
		if err != nil {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endlessBytes += sent
}

// EndlessBytes returns the number of bytes that were sent in the mode EndlessEvent, in the responses that have ended.
func (s *Server) EndlessBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endlessBytes
}
