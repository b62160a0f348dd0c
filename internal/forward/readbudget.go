package forward

import "io"

// maxHeadBytes is the maximum number of bytes that a target may send before the body of its response: the head, informational
// responses, and late responses to other requests.
const maxHeadBytes = 256 << 10

// readBudget is a reader that fails after a number of bytes while it is limited.
type readBudget struct {
	reader io.Reader
	// limited is set while the budget applies, remaining the number of bytes that are left of it.
	limited   bool
	remaining int
}

// limit makes reads fail after a number of bytes.
func (b *readBudget) limit(bytes int) { b.limited, b.remaining = true, bytes }

// unlimit ends the limit.
func (b *readBudget) unlimit() { b.limited = false }

// Read reads from the underlying reader. It returns a *HeadTooLongError if the budget is used up.
func (b *readBudget) Read(p []byte) (int, error) {
	if !b.limited {
		return b.reader.Read(p)
	}
	if b.remaining <= 0 {
		return 0, &HeadTooLongError{Limit: maxHeadBytes}
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}
