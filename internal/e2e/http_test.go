package e2e_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// httpClient sends requests to the operators' API and to the emulated systems.
var httpClient = http.Client{Timeout: 15 * time.Second}

// requestJSON sends a request with body encoded as JSON, unless it is nil, and decodes the JSON response into result, unless it
// is nil. It returns the HTTP status, or zero if the request failed or the response could not be decoded.
func requestJSON(method, address, path, key string, body, result any) int {
	var requestBody io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0
		}
		requestBody = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, "http://"+address+path, requestBody)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || result != nil && json.Unmarshal(text, result) != nil {
		return 0
	}
	return response.StatusCode
}
