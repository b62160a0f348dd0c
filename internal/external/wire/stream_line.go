package wire

// StreamLine is one line of an engine's streamed response. A line with neither End nor Error is a token. A response that
// ends without a line with End or Error was interrupted. An empty line is a keep-alive and holds no StreamLine.
type StreamLine struct {
	// Index is the index of the token or, in a line with End, the number of tokens. It is not set in a line with Error.
	Index int64 `json:"index"`
	// Text is the token's text.
	Text string `json:"text,omitempty"`
	// End marks the end of a complete response.
	End bool `json:"end,omitempty"`
	// Error is the reason why the engine ends an incomplete response.
	Error string `json:"error,omitempty"`
}
