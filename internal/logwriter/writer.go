package logwriter

import (
	"io"
	"sync"
)

// maxWriteBytes is the maximum size of one write to the output. Larger pending data is written in several pieces.
const maxWriteBytes = 64 << 10

// Writer buffers lines for an output that may be slow and writes them in a goroutine of its own. While the buffer is full,
// lines are dropped and counted. It is safe for concurrent use.
type Writer struct {
	output          io.Writer
	maxPendingBytes int

	mu      sync.Mutex
	pending []byte
	dropped uint64
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// New returns a writer to output that buffers at most maxPendingBytes. The lines that are being written to the output are not
// counted. The caller must call Close to stop the goroutine.
func New(output io.Writer, maxPendingBytes int) *Writer {
	w := &Writer{output: output, maxPendingBytes: maxPendingBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a whole line, or drops it if the buffer is full or the writer is closed. It never blocks on the output and
// never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > w.maxPendingBytes {
		w.dropped++
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	w.notify()
	return len(line), nil
}

// Dropped returns how many lines were dropped. A failed write to the output counts as one line, whatever number of lines it
// loses.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes the pending lines and waits until the goroutine has ended. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.notify()
	<-w.done
}

// notify wakes the writing goroutine. It does not block: one pending notification is enough.
func (w *Writer) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes pending lines whenever it is notified, until the writer is closed and nothing is pending.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		for w.flush() {
		}
		w.mu.Lock()
		finished := w.closed && len(w.pending) == 0
		w.mu.Unlock()
		if finished {
			return
		}
	}
}

// flush writes the pending lines and reports whether there were any. It gives up on them if the output returns an error.
func (w *Writer) flush() bool {
	w.mu.Lock()
	data := w.pending
	w.pending = nil
	w.mu.Unlock()
	for rest := data; len(rest) > 0; {
		size := min(len(rest), maxWriteBytes)
		if _, err := w.output.Write(rest[:size]); err != nil {
			w.mu.Lock()
			w.dropped++
			w.mu.Unlock()
			break
		}
		rest = rest[size:]
	}
	return len(data) > 0
}
