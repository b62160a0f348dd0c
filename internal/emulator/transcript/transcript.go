package transcript

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Transcript is the answer to one prompt, as a function of the token index.
type Transcript struct {
	seed   uint64
	length int64
}

// New returns the transcript for a prompt and a bound on the tokens. Its length lies between half of the bound and the
// bound, as callers do not know the cost of a call before its end.
func New(prompt string, maxTokens int) Transcript {
	seed := xxhash.Sum64String(prompt)
	bound := max(0, int64(maxTokens))
	return Transcript{seed: seed, length: bound - int64(seed%uint64(bound/2+1))}
}

// TokenCount is the number of tokens of the whole answer.
func (t Transcript) TokenCount() int64 { return t.length }

// Token returns the text of the token with an index.
func (t Transcript) Token(index int64) string {
	word := xxhash.Sum64String(fmt.Sprintf("%d/%d", t.seed, index))
	return fmt.Sprintf(" %04x", word&0xffff)
}

// Text returns the whole answer.
func (t Transcript) Text() string {
	var text strings.Builder
	for index := range t.length {
		text.WriteString(t.Token(index))
	}
	return text.String()
}
