package gateway

import (
	"runtime"
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/metric"
)

// lateWork is the lateness of the periodic work from which the state of the process is logged with each look.
const lateWork = 100 * time.Millisecond

// processUse is what the process had used when its state was last logged.
type processUse struct {
	cpu         time.Duration
	collections uint64
	looks       int
}

// logUse logs what the process uses.
func (g *Gateway) logUse() {
	late := g.lag.take()
	g.metrics.Update(metric.Lateness, late.Seconds())
	if g.used.looks++; g.used.looks < statePeriods && late < lateWork {
		return
	}
	var usage unix.Rusage
	cpu := g.used.cpu
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) == nil {
		cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(samples)
	collections := samples[0].Value.Uint64()
	callers := g.callers.count()
	event.ProcessState.Log(g.logger, (cpu - g.used.cpu).Milliseconds(), late.Milliseconds(),
		collections-g.used.collections, samples[1].Value.Uint64()>>10, runtime.NumGoroutine(),
		callers.fresh, callers.active, callers.idle, g.client.IdleConns())
	g.used = processUse{cpu: cpu, collections: collections}
}
