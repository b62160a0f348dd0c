package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// maxRefusalLinesPerSecond is the maximum number of refusals per second that get a log line of their own.
const maxRefusalLinesPerSecond = 100

// refusalKey is what refusals have in common that are counted together.
type refusalKey struct {
	customer string
	code     refusal.Code
	reason   string
}

// refusalLog limits the log lines about refusals, so that many retried requests do not push other lines out of the log.
// Refusals beyond the limit are counted and logged as sums. It is safe for concurrent use.
type refusalLog struct {
	logger zerolog.Logger

	mu sync.Mutex
	// currentSecond is the Unix time of the second in which linesInSecond lines were allowed or suppressed.
	currentSecond int64
	linesInSecond int
	// suppressed counts the refusals without a log line since the last call of logSuppressed.
	suppressed map[refusalKey]int
}

// newRefusalLog returns a log without suppressed refusals.
func newRefusalLog(logger zerolog.Logger) *refusalLog {
	return &refusalLog{logger: logger, suppressed: make(map[refusalKey]int)}
}

// allowLine reports whether a refusal gets a log line of its own. If not, the refusal is counted.
func (l *refusalLog) allowLine(now time.Time, key refusalKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if unixSecond := now.Unix(); unixSecond != l.currentSecond {
		l.currentSecond, l.linesInSecond = unixSecond, 0
	}
	if l.linesInSecond++; l.linesInSecond <= maxRefusalLinesPerSecond {
		return true
	}
	l.suppressed[key]++
	return false
}

// logSuppressed logs the counts of refusals without a log line and resets them.
func (l *refusalLog) logSuppressed() {
	l.mu.Lock()
	suppressed := l.suppressed
	l.suppressed = make(map[refusalKey]int)
	l.mu.Unlock()
	for key, count := range suppressed {
		event.RefusalsSummed.Log(l.logger, key.customer, string(key.code), key.reason, count)
	}
}
