package gateway

import (
	"context"
	"errors"
	"io"

	"github.com/chicorydale/chicorydale/internal/overload"
)

// firstBodyBytes is the size of the first buffer of a body. A caller that sends slowly holds no more than it has sent, times two.
const firstBodyBytes = 4 << 10

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
