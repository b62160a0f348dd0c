package route

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

// Route describes how requests below one path prefix of one HTTP host name are handled.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the HTTP host name of the requests. Case and port are ignored.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Kind defines how requests are answered and whether they may be retried.
	Kind Kind
	// Splits divide the requests among services by weight.
	Splits []Split
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// AllowAnonymous reports whether requests without an API key are accepted.
	AllowAnonymous bool
	// Timeout limits the time from the arrival of a request to the end of its response.
	Timeout time.Duration
	// LatencyObjective is the time within which the response, or its first event, has its full value for the caller.
	LatencyObjective time.Duration
	// EventTimeout is the time without an event of a stream, also before the first one, after which callers leave. It is 0 if it is not known.
	EventTimeout time.Duration
}

// SelectService returns the name of the service that handles a request, or "" if no split has a positive weight. Requests with
// the same affinity key go to the same service while the splits stay the same, so that prompts in the targets' caches can be
// reused.
func (r *Route) SelectService(affinityKey uint64) string {
	bestScore, service := math.Inf(-1), ""
	for _, split := range r.Splits {
		if split.Weight <= 0 {
			continue
		}
		if score := rendezvousScore(split, affinityKey); score > bestScore || service == "" {
			bestScore, service = score, split.Service
		}
	}
	return service
}

// Serves reports whether a split with a positive weight sends requests to the service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Splits, func(split Split) bool { return split.Service == service && split.Weight > 0 })
}

// rendezvousScore returns the score of a split in weighted rendezvous hashing. Over many keys, a split has the highest score
// in proportion to its weight.
func rendezvousScore(split Split, affinityKey uint64) float64 {
	hash := rendezvous.Weight(xxhash.Sum64String(split.Service), affinityKey)
	// The upper 53 bits of the hash give a number between 0 and 1.
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(split.Weight) / math.Log(uniform)
}
