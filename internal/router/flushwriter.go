package router

import "net/http"

// flushWriter flushes after each write, so that a streamed token is sent to the caller immediately. It does not implement
// io.ReaderFrom, with which the generated code would copy a whole stream without flushing.
type flushWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	// started is set when the response has begun, after which its status cannot change.
	started bool
}

// newFlushWriter wraps a response writer.
func newFlushWriter(w http.ResponseWriter) *flushWriter {
	return &flushWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
}

// WriteHeader writes the status and headers, and records that the response has begun.
func (w *flushWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes and flushes. It returns the error of either.
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
