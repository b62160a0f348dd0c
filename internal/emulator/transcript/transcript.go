package transcript

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Transcript is the complete response to one prompt. Each token is a function of the prompt and the token index.
type Transcript struct {
	seed       uint64
	tokenCount int64
}

// New returns the transcript for a prompt and a maximum number of tokens. The number of tokens is derived from the prompt and
// lies between half of the maximum and the maximum, because callers of a real engine do not know the cost of a call before
// it ends.
func New(prompt string, maxTokens int) Transcript {
	seed := xxhash.Sum64String(prompt)
	maxCount := max(0, int64(maxTokens))
	return Transcript{seed: seed, tokenCount: maxCount - int64(seed%uint64(maxCount/2+1))}
}

// TokenCount returns the number of tokens of the complete response.
func (t Transcript) TokenCount() int64 { return t.tokenCount }

// Token returns the text of the token at an index, counted from zero.
func (t Transcript) Token(index int64) string {
	hash := xxhash.Sum64String(fmt.Sprintf("%d/%d", t.seed, index))
	return fmt.Sprintf(" %04x", hash&0xffff)
}

// Text returns the text of all tokens.
func (t Transcript) Text() string {
	var text strings.Builder
	for index := range t.tokenCount {
		text.WriteString(t.Token(index))
	}
	return text.String()
}
