package forward

import "net/http"

// Framing is what ends the body of a response.
type Framing string

// Framings of responses.
const (
	// FramedByLength means that the head states the length of the body, which may be zero.
	FramedByLength Framing = "length"
	// FramedByChunks means that the body ends with its last chunk.
	FramedByChunks Framing = "chunks"
	// FramedByConnection means that the body ends with the connection, so that a body that was broken off without a reset of the
	// connection looks like a complete one.
	FramedByConnection Framing = "connection"
)

// framingOf returns the framing of a response.
func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength >= 0:
		return FramedByLength
	default:
		return FramedByConnection
	}
}
