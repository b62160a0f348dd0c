package gateway

import (
	"context"
	"sync"
	"time"
)

// markReadTimeout limits one read of all marks.
const markReadTimeout = time.Second

// markRead is one read of all marks that requests wait for. succeeded may be read once done is closed.
type markRead struct {
	done      chan struct{}
	succeeded bool
}

// markReader reads the marks of builds for requests that need all marks that were written before they arrived. Requests that arrive during
// a read share the next one. It is safe for concurrent use.
type markReader struct {
	// read reads all marks and reports whether it succeeded.
	read func(ctx context.Context) bool

	mu sync.Mutex
	// next is the read that has not begun yet, nil if nobody waits for it. reading is set while a goroutine runs the reads.
	next    *markRead
	reading bool
}

// await waits for a read of all marks that begins after the call. It reports false if that fails or ctx ends before.
func (r *markReader) await(ctx context.Context) bool {
	pending := r.join()
	select {
	case <-pending.done:
		return pending.succeeded
	case <-ctx.Done():
		return false
	}
}

// join returns the next read, which begins later.
func (r *markReader) join() *markRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &markRead{done: make(chan struct{})}
	}
	if !r.reading {
		r.reading = true
		go r.run()
	}
	return r.next
}

// run reads until nobody waits for a read.
func (r *markReader) run() {
	for pending := r.take(); pending != nil; pending = r.take() {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(markReadTimeout))
		pending.succeeded = r.read(ctx)
		cancel()
		close(pending.done)
	}
}

// take returns the next read, nil if there is none.
func (r *markReader) take() *markRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.next
	r.next = nil
	r.reading = pending != nil
	return pending
}
