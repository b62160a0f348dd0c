package client

// Token is one piece of a streamed answer.
type Token struct {
	// Index counts the tokens of the answer from zero.
	Index int64 `json:"index"`
	// Text is the text of the token.
	Text string `json:"text"`
}
