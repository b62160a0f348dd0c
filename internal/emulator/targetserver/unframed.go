package targetserver

import (
	"io"
	"net"
	"net/http"
)

// sendUnframed sends the head of a response with status 200 that has neither a length nor chunks, calls writeBody, and closes the
// connection.
func sendUnframed(w http.ResponseWriter, writeBody func(conn net.Conn)) {
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err != nil {
		return
	}
	if header.Write(conn) != nil {
		return
	}
	if _, err := io.WriteString(conn, "\r\n"); err != nil {
		return
	}
	writeBody(conn)
}

// sendUnframedCrash sends a response without a length or chunks that the crash of the target ends after the text.
func sendUnframedCrash(w http.ResponseWriter, text string, crash func()) {
	sendUnframed(w, func(conn net.Conn) {
		_, _ = io.WriteString(conn, text) // The caller may have disconnected.
		crash()
	})
}

// sendUnframedResponse sends the response to a request without a length or chunks. In the mode UnframedTruncated it breaks it off.
func (s *Server) sendUnframedResponse(w http.ResponseWriter, r *http.Request, mode Mode) {
	w.Header().Set("X-Replica-Seal", "seal")
	sendUnframed(w, func(conn net.Conn) {
		switch {
		case s.eventCount > 0:
			s.writeUnframedEvents(conn, lastEventNumber(r), mode)
		case mode == UnframedTruncated:
			_, _ = io.WriteString(conn, "answ")
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // Resets the connection when it is closed.
			}
		default:
			_, _ = io.WriteString(conn, "answer to "+r.Header.Get("X-Attempt-Id"))
		}
	})
}

// writeUnframedEvents writes the events after lastEvent, in the mode UnframedTruncated only a part of them.
func (s *Server) writeUnframedEvents(conn net.Conn, lastEvent int, mode Mode) {
	for number := lastEvent + 1; number <= s.eventCount; number++ {
		text := s.eventText(number)
		if mode == UnframedTruncated && number > s.eventCount/2 {
			_, _ = io.WriteString(conn, text[:len(text)/2])
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}
