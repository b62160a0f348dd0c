package client

// Token is one token of a streamed response.
type Token struct {
	// Index is the position of the token in the response, from zero.
	Index int64 `json:"index"`
	// Text is the token's text, including any whitespace.
	Text string `json:"text"`
}
