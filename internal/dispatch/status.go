package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Status is a summary of the targets of one service.
type Status struct {
	// Service is the name of the service.
	Service string
	// Targets is the number of targets, Sound that of the ones that nothing speaks against, Open that of the ones that
	// could take a request now.
	Targets, Healthy, Available int
	// Running is the number of this router's runs, Occupied that of all routers' as far as known, Slots what fits.
	Running, Occupied, Slots int
	// Waiting is the number of requests without a target.
	Waiting int
	// UnreadTokens is the number of tokens that all targets still have to read.
	UnreadTokens int
	// TokensPerSecond is the learnt number of tokens that a target reads in a second, Base the learnt time to the first byte of an
	// empty prompt.
	TokensPerSecond int
	BaseLatency     time.Duration
	// LatencyRatio is the mean ratio of observed to predicted times to the first byte.
	LatencyRatio float64
}

// Status returns a summary of each service that has targets, in the order of their names.
func (d *Dispatcher) Status(now time.Time) []Status {
	all := make([]Status, 0, len(d.services))
	for _, s := range d.services {
		if len(s.targets) > 0 {
			all = append(all, s.status(now))
		}
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// status returns the summary of the service.
func (s *service) status(now time.Time) Status {
	status := Status{
		Service: s.name, Targets: len(s.targets), Available: s.open(now), Waiting: s.line.length,
		TokensPerSecond: int(s.speed), BaseLatency: s.fit.First(0),
	}
	for _, state := range s.targets {
		if state.sound(now) {
			status.Healthy++
		}
		status.Running += state.running
		status.Occupied += int(state.occupied(now))
		status.Slots += state.Slots
		status.UnreadTokens += int(state.queued(now, s.speed))
		status.LatencyRatio += state.pace / float64(len(s.targets))
	}
	return status
}
