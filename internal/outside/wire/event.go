package wire

// StreamLine is one line of an engine's answer. A token has neither End nor Error. An answer without a line that has End or
// Error broke off. An empty line only shows that the engine is alive.
type StreamLine struct {
	// Index is the token's index, or the number of tokens in the line with End.
	Index int64 `json:"index"`
	// Text is the token's text.
	Text string `json:"text,omitempty"`
	// End marks the end of a whole answer.
	End bool `json:"end,omitempty"`
	// Error is the reason why the engine ends an answer that is not whole.
	Error string `json:"error,omitempty"`
}
