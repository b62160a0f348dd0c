package router

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"strconv"
	"strings"
)

// newStream returns the id under which an engine keeps a call's stream: the customer's number, so that only the
// customer can resume it, and 128 random bits, so that nobody can guess it.
func newStream(customer uint32) string {
	var random [16]byte
	_, _ = rand.Read(random[:]) // Read never returns an error.
	return strconv.FormatUint(uint64(customer), 10) + "-" + hex.EncodeToString(random[:])
}

// resumeToken returns what a caller shows to any router to go on with a stream.
func resumeToken(target, stream string) string {
	return base64.RawURLEncoding.EncodeToString([]byte(target + " " + stream))
}

// parseToken returns the target and the stream of a resume token, if the stream belongs to the customer.
func parseToken(token string, customer uint32) (target, stream string, ok bool) {
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
