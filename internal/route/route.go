package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

// Route tells what happens to the requests below one path prefix of one host.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the lower-case host name of the requests.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Kind tells how often a request may run.
	Kind Kind
	// Splits are the services with their parts of the requests.
	Splits []Split
	// MaxAttempts is the greatest number of targets to which one request is sent.
	MaxAttempts int
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// AllowAnonymous tells whether requests need no key.
	AllowAnonymous bool
	// Timeout is the longest time in which a request is answered.
	Timeout time.Duration
	// LatencyObjective is the time in which an answer, or its first event, is fully useful.
	LatencyObjective time.Duration
}

// SelectService returns the service of a request. Requests with the same key go to the same service as long as the splits do
// not change, so that their cached prompts stay useful.
func (r *Route) SelectService(key uint64) string {
	best, service := math.Inf(-1), ""
	for _, split := range r.Splits {
		if split.Weight <= 0 {
			continue
		}
		if weight := weigh(split, key); weight > best || service == "" {
			best, service = weight, split.Service
		}
	}
	return service
}

// weigh returns the weighted rendezvous score of a split.
func weigh(split Split, key uint64) float64 {
	hash := rendezvous.Weight(xxhash.Sum64String(split.Service), key)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(split.Weight) / math.Log(uniform)
}
