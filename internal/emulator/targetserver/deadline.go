package targetserver

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// respondAtDeadline sends a response when the deadline of the request passes. Without a deadline, it sends nothing.
func (s *Server) respondAtDeadline(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	milliseconds, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil || !sleep(r, time.Until(arrivedAt.Add(time.Duration(milliseconds)*time.Millisecond))) {
		return
	}
	w.Header().Set("X-Replica-Seal", "seal")
	body, status := "answer to "+r.Header.Get("X-Attempt-Id"), http.StatusGatewayTimeout
	switch {
	case s.eventCount > 0:
		w.Header().Set("Content-Type", "text/event-stream")
		body, status = s.fullStream(), http.StatusOK
	case r.Method == http.MethodGet:
		status = http.StatusOK
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) //nolint:gosec // The caller is a test, and may have disconnected.
}

// fullStream returns the text of all events of a stream.
func (s *Server) fullStream() string {
	var text strings.Builder
	for number := 1; number <= s.eventCount; number++ {
		text.WriteString(s.eventText(number))
	}
	return text.String()
}
