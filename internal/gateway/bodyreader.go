package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/overload"
)

// firstBodyBytes is the size of the first buffer of a body. A caller that sends slowly holds no more than it has sent, times two.
const firstBodyBytes = 4 << 10

const (
	// refusedBodyTimeout is how long the rest of a refused request's body is read.
	refusedBodyTimeout = 2 * time.Second
	// maxRefusedBodyBytes is the number of bytes that are read meanwhile at most.
	maxRefusedBodyBytes = 16 << 20
)

// errNoBodyMemory says that there is no memory for the rest of a body.
var errNoBodyMemory = errors.New("there is no memory for the body")

// bodyReader reads a body completely, with as much memory as its reservation gets. What does not fit waits unread at the caller.
type bodyReader struct {
	source io.Reader
	// maxBytes is the largest possible size: the announced one, or the limit of the configuration. announced is set in the first case.
	maxBytes    int64
	announced   bool
	reservation *overload.BodyReservation
}

// readAll returns the whole body. The error is errNoBodyMemory if there is no memory for it until ctx ends.
func (b *bodyReader) readAll(ctx context.Context) ([]byte, error) {
	buffer, err := b.grow(ctx, nil)
	if err != nil {
		return nil, err
	}
	for {
		n, err := b.source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		case len(buffer) == cap(buffer):
			if buffer, err = b.grow(ctx, buffer); err != nil {
				return nil, err
			}
		}
	}
}

// grow returns a larger buffer with the same content. A large body gets all that it may need at once, so that bodies that have begun do not
// wait for each other.
func (b *bodyReader) grow(ctx context.Context, buffer []byte) ([]byte, error) {
	// The additional byte makes the last read see io.EOF. Only then does the HTTP server start to detect that the caller disconnects.
	fullSize := b.maxBytes + 1
	size := min(max(2*int64(cap(buffer)), firstBodyBytes), fullSize)
	isLarge := size > overload.SmallBodyBytes || b.announced && fullSize > overload.SmallBodyBytes && buffer != nil
	switch {
	case !isLarge:
		if !b.reservation.GrowSmall(size - int64(cap(buffer))) {
			return nil, errNoBodyMemory
		}
	case b.reservation.GrowLarge(ctx, fullSize):
		defer b.reservation.ReleaseSmall() // The smaller buffer is not used any more.
		size = fullSize
	default:
		return nil, errNoBodyMemory
	}
	return append(make([]byte, 0, size), buffer...), nil
}

// discardBody sends what was written of a refusal and reads the rest of the request's body. Callers send a body completely before they read
// the answer, and closing a connection with unread bytes resets it, so they would never see the refusal.
func (x *exchange) discardBody() {
	x.releaseBody()
	if x.controller.Flush() != nil || x.controller.SetReadDeadline(time.Now().Add(refusedBodyTimeout)) != nil {
		return // The caller has left.
	}
	_, _ = io.CopyN(io.Discard, x.r.Body, maxRefusedBodyBytes) // The caller may leave, or send no more.
}

// hasUnreadBody reports whether the caller may still be sending the body of the request. One that waits for the server's consent to send it
// never begins after a refusal, and the load shedder, which has no controller of a connection, refuses only requests that it has read whole.
func (x *exchange) hasUnreadBody() bool {
	awaitsConsent := x.r.Header.Get("Expect") != "" && x.bodyMemory == nil
	return x.controller != nil && x.body == nil && x.r.Body != http.NoBody && !awaitsConsent
}
