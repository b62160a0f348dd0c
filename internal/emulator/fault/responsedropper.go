package fault

import "net/http"

// responseDropper closes the connection when the handler begins to write its response, which is after the request took
// effect.
type responseDropper struct {
	http.ResponseWriter
}

// WriteHeader aborts the handler, which closes the connection.
func (responseDropper) WriteHeader(int) { panic(http.ErrAbortHandler) }

// Write aborts the handler, which closes the connection.
func (responseDropper) Write([]byte) (int, error) { panic(http.ErrAbortHandler) }
