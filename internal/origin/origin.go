package origin

import "github.com/cespare/xxhash/v2"

// Origin is where a stream began.
type Origin struct {
	// Service is the name of the service, Build the version of the software of the target that began the stream.
	Service, Build string
}

// StreamID identifies a stream by a hash of the ID of the request that brought its first event.
type StreamID uint64

// NewStreamID returns the ID of the stream of a request.
func NewStreamID(requestID string) StreamID { return StreamID(xxhash.Sum64String(requestID)) }
