package reply

import (
	"encoding/json"
	"net/http"
)

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that is gone cannot be told.
	_ = json.NewEncoder(w).Encode(body)
}

// DecodeJSON decodes the body of a request, or answers with status 400 and returns false.
func DecodeJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
