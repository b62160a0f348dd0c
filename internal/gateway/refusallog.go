package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// refusalLines is the number of refusals that are logged one by one in a second.
const refusalLines = 100

// refusalKind is what summed refusals have in common.
type refusalKind struct {
	customer string
	code     refusal.Code
	reason   string
}

// refusalLog bounds the lines on refusals: a crowd that repeats its requests must not push other lines out of the log.
// Beyond the bound refusals are summed by kind.
type refusalLog struct {
	logger zerolog.Logger

	mu     sync.Mutex
	second int64
	lines  int
	summed map[refusalKind]int
}

// newRefusalLog returns a log without sums.
func newRefusalLog(logger zerolog.Logger) *refusalLog {
	return &refusalLog{logger: logger, summed: make(map[refusalKind]int)}
}

// permits tells whether a refusal is logged by itself; if not, it is summed.
func (l *refusalLog) permits(now time.Time, kind refusalKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines++; l.lines <= refusalLines {
		return true
	}
	l.summed[kind]++
	return false
}

// flush logs the sums.
func (l *refusalLog) flush() {
	l.mu.Lock()
	summed := l.summed
	l.summed = make(map[refusalKind]int)
	l.mu.Unlock()
	for kind, count := range summed {
		event.RefusalsSummed.Log(l.logger, kind.customer, string(kind.code), kind.reason, count)
	}
}
