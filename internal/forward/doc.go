// Package forward is an HTTP client that forwards requests to targets over reused connections and returns their responses
// unchanged. Its errors tell whether a target may have received a request, and it never returns bytes that belong to the response
// to another request.
package forward
