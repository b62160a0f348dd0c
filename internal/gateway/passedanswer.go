package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

// maxKeptAnswerBytes is the size up to which a passed answer is kept, to tell whether it was complete when its connection broke. Refusals are
// not larger.
const maxKeptAnswerBytes = 1 << 10

// passedAnswer is what a router has passed on of a peer's answer.
type passedAnswer struct {
	size int
	// kept holds the answer as long as it is not larger than maxKeptAnswerBytes.
	kept []byte
}

// add records a part that was passed on.
func (a *passedAnswer) add(part []byte) {
	if a.size += len(part); a.size <= maxKeptAnswerBytes {
		a.kept = append(a.kept, part...)
	}
}

// isComplete reports whether the answer is known to be complete by what it says of its length.
func (a *passedAnswer) isComplete() bool {
	if a.size > len(a.kept) {
		return false
	}
	reader := bufio.NewReader(bytes.NewReader(a.kept))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode < http.StatusOK {
			continue // The final answer follows.
		}
		isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		return err == nil && isFramed
	}
}
