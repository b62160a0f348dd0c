package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Status summarizes the targets and the queue of one service.
type Status struct {
	// Service is the name of the service.
	Service string
	// Targets is the number of targets, Healthy the number of healthy ones, and Available the number of those that could take
	// a request now, which is estimated for a large service.
	Targets, Healthy, Available int
	// Running is the number of this router's runs. Occupied is the number of runs of all routers, as far as known. Slots is
	// the number of runs that all targets together can have.
	Running, Occupied, Slots int
	// Waiting is the number of requests that wait for a target.
	Waiting int
	// UnreadTokens is the number of prompt tokens that all targets together still have to read.
	UnreadTokens int
	// TokensPerSecond is the average read speed of a target. BaseLatency is this router's estimate of the time to the first
	// byte for an empty prompt.
	TokensPerSecond int
	BaseLatency     time.Duration
	// LatencyRatio is the mean over all targets of the ratio of observed to predicted times to the first byte.
	LatencyRatio float64
	// PeersWaiting is the number of requests that wait at peers by their recent reports.
	PeersWaiting int
}

// Status returns a summary of each service that has targets, ordered by name.
func (d *Dispatcher) Status(now time.Time) []Status {
	all := make([]Status, 0, len(d.services))
	for _, s := range d.services {
		if len(s.targets) > 0 {
			status := s.status(now)
			status.PeersWaiting = d.countWaitingAtPeers(now, s)
			all = append(all, status)
		}
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// status returns the summary of the service.
func (s *service) status(now time.Time) Status {
	status := Status{
		Service: s.name, Targets: len(s.targets), Available: s.countAvailable(now), Waiting: s.queue.length,
		TokensPerSecond: int(s.readSpeed), BaseLatency: s.latency.PredictFirstByte(0),
	}
	for _, state := range s.targets {
		if state.isHealthy(now) {
			status.Healthy++
		}
		status.Running += state.running
		status.Occupied += int(state.occupiedSlots(now))
		status.Slots += state.Slots
		status.UnreadTokens += int(state.backlog(now, s.readSpeed))
		status.LatencyRatio += state.latencyRatio / float64(len(s.targets))
	}
	return status
}
