package forward

import (
	"io"
	"net/http"
)

// maxHeadBytes is the maximum number of bytes that a target may send before the body of its response: the head, informational
// responses, and late responses to other requests.
const maxHeadBytes = 256 << 10

const (
	// maxHeaderBytes and maxHeaderLines limit the header of a response, which is held until the response ends. A header of many short lines takes
	// several times its size.
	maxHeaderBytes = 32 << 10
	maxHeaderLines = 256
)

// checkHeader returns a *HeaderTooLargeError if a header is too large to be held.
func checkHeader(header http.Header) error {
	lines, size := 0, 0
	for name, values := range header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if lines > maxHeaderLines || size > maxHeaderBytes {
		return &HeaderTooLargeError{Lines: lines, Bytes: size}
	}
	return nil
}

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
