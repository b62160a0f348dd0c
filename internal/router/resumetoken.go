package router

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"strconv"
	"strings"
)

// newStreamID returns a new id for the stream of a call at an engine. It consists of the customer's number, so that no other
// customer can resume the stream, and 128 random bits, so that it cannot be guessed.
func newStreamID(customer uint32) string {
	var random [16]byte
	_, _ = rand.Read(random[:]) // Read never returns an error.
	return strconv.FormatUint(uint64(customer), 10) + "-" + hex.EncodeToString(random[:])
}

// formatResumeToken returns the token with which a caller can resume a stream through any router.
func formatResumeToken(target, stream string) string {
	return base64.RawURLEncoding.EncodeToString([]byte(target + " " + stream))
}

// parseResumeToken returns the target and the stream id of a resume token. It returns false if the token is malformed or the
// stream belongs to another customer.
func parseResumeToken(token string, customer uint32) (target, stream string, ok bool) {
	decoded, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil {
		return "", "", false
	}
	target, stream, found := strings.Cut(string(decoded), " ")
	owner, _, owned := strings.Cut(stream, "-")
	if !found || !owned || owner != strconv.FormatUint(uint64(customer), 10) {
		return "", "", false
	}
	return target, stream, true
}
