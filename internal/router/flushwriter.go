package router

import "net/http"

// flushWriter flushes after each write, so that a streamed token leaves at once. It hides io.ReaderFrom, with which the
// generated code would copy a whole stream without flushing.
type flushWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	started    bool
}

// newFlushWriter wraps a response writer.
func newFlushWriter(w http.ResponseWriter) *flushWriter {
	return &flushWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
}

// WriteHeader notes that the answer has begun.
func (w *flushWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes and flushes.
func (w *flushWriter) Write(p []byte) (int, error) {
	w.started = true
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.controller.Flush()
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *flushWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
