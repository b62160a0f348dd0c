package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
)

const (
	// probeTimeout limits the time to open the connection that shows whether a target has crashed.
	probeTimeout = 500 * time.Millisecond
	// probeRepeatTime is the time after a probe in which further broken attempts at the same start of a target do not cause
	// another probe.
	probeRepeatTime = 200 * time.Millisecond
)

// targetStart identifies one start of a target.
type targetStart struct {
	name           string
	startUnixMilli int64
}

// crashDetector tells targets that crashed from those that broke off a single answer: a target that crashed accepts no
// connection. It is safe for concurrent use.
type crashDetector struct {
	client *forward.Client
	logger zerolog.Logger

	mu sync.Mutex
	// probed holds the starts of targets that are being probed or were probed within probeRepeatTime.
	probed map[targetStart]bool
}

// newCrashDetector returns a detector that opens its connections with the client.
func newCrashDetector(client *forward.Client, logger zerolog.Logger) *crashDetector {
	return &crashDetector{client: client, logger: logger, probed: make(map[targetStart]bool)}
}

// attemptBroke starts a probe of a target whose connection was lost in the middle of an attempt.
func (d *crashDetector) attemptBroke(target dispatch.Target) {
	start := targetStart{name: target.Name, startUnixMilli: target.StartUnixMilli}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probed[start] {
		return
	}
	d.probed[start] = true
	go d.probe(target, start)
}

// probe opens a connection to a target and logs a crash if the target accepts none.
func (d *crashDetector) probe(target dispatch.Target, start targetStart) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(probeTimeout))
	defer cancel()
	if err := d.client.Probe(ctx, target.Name, target.Address); err != nil {
		event.TargetCrashed.Log(d.logger, target.Name, err)
	}
	time.AfterFunc(probeRepeatTime, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.probed, start)
	})
}
