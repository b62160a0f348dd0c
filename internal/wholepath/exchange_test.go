package wholepath_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// plain is the client for operators' calls and emulated systems.
var plain = http.Client{Timeout: 15 * time.Second}

// exchange sends a request with an optional body and decodes an answer of JSON into an optional value. It returns the
// status, zero if there was no answer.
func exchange(method, address, path, key string, body, into any) int {
	var encoded io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0
		}
		encoded = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, "http://"+address+path, encoded)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := plain.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || into != nil && json.Unmarshal(text, into) != nil {
		return 0
	}
	return response.StatusCode
}
