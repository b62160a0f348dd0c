package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. The signals go to the process of a router, the others concern the connections of its callers.
const (
	Pause        Kind = "pause"
	Kill         Kind = "kill"
	Drain        Kind = "drain"
	Delay        Kind = "delay"
	Reset        Kind = "reset"
	BlockAnswers Kind = "block answers"
	BlockCalls   Kind = "block calls"
)

var kinds = []Kind{Pause, Kill, Drain, Delay, Reset, BlockAnswers, BlockCalls}

const (
	// minFault and maxFault limit how long a fault lasts.
	minFault, maxFault = 200 * time.Millisecond, 1200 * time.Millisecond
	// maxGap limits the time from the begin of a fault to that of the next one.
	maxGap = 500 * time.Millisecond
	// recovery is the least time between two faults of a router.
	recovery = 500 * time.Millisecond
)

// Fault is one fault of a router. Begin and End are the times since the start of the schedule.
type Fault struct {
	Kind       Kind
	Router     int
	Begin, End time.Duration
}

// String describes the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs: %s router %d", f.Begin.Seconds(), f.End.Seconds(), f.Kind, f.Router)
}

// NewSchedule draws the faults of a number of routers until the given time. Faults of different routers may overlap.
func NewSchedule(seed uint64, routers int, until time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	freeAt := make([]time.Duration, routers)
	var faults []Fault
	for at := recovery; at < until; at += time.Duration(random.Int64N(int64(maxGap))) {
		drawn := Fault{Kind: kinds[random.IntN(len(kinds))], Router: random.IntN(routers), Begin: at}
		drawn.End = at + minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
		if at < freeAt[drawn.Router] {
			continue
		}
		freeAt[drawn.Router] = drawn.End + recovery
		faults = append(faults, drawn)
	}
	return faults
}
