package fault

import "net/http"

// lost closes the connection when the answer begins, which is after the effect.
type lost struct {
	http.ResponseWriter
}

// WriteHeader closes the connection.
func (lost) WriteHeader(int) { panic(http.ErrAbortHandler) }

// Write closes the connection.
func (lost) Write([]byte) (int, error) { panic(http.ErrAbortHandler) }
