package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// WriteJSON writes a response with a status code and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected, and it cannot be informed.
	_ = json.NewEncoder(w).Encode(body)
}

// DecodeJSON decodes the JSON body of a request into body. On failure it responds with status 400 and returns false.
func DecodeJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
