package load

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Summary holds the counts and latencies of the calls of a load. Its methods are safe for concurrent use; Elapsed is set
// when Run returns.
type Summary struct {
	// Elapsed is the time from the start of the load to the end of its last call.
	Elapsed time.Duration

	mutex   sync.Mutex
	all     *groupStats
	groups  map[string]*groupStats
	codes   map[string]int64
	resumes int64
}

// newSummary returns an empty summary.
func newSummary() *Summary {
	return &Summary{all: newGroupStats("all"), groups: make(map[string]*groupStats), codes: make(map[string]int64)}
}

// add counts one call in the rows of all calls, its class and its customer.
func (s *Summary) add(call Call, scheduledAt, endedAt time.Time, outcome Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.all.add(scheduledAt, endedAt, outcome)
	for prefix, name := range map[string]string{"class ": call.Class, "customer ": call.Customer} {
		if name == "" {
			continue
		}
		group, found := s.groups[prefix+name]
		if !found {
			group = newGroupStats(prefix + name)
			s.groups[prefix+name] = group
		}
		group.add(scheduledAt, endedAt, outcome)
	}
	if outcome.Code != "" {
		s.codes[outcome.Code]++
	}
	s.resumes += int64(outcome.Resumes)
}

// Rows returns the row of all calls, followed by those of the classes and customers, sorted by group.
func (s *Summary) Rows() []Row {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := make([]Row, 0, 1+len(s.groups))
	rows = append(rows, s.all.snapshot())
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		rows = append(rows, s.groups[name].snapshot())
	}
	return rows
}

// CountsByCode returns the number of calls with each refusal or failure code.
func (s *Summary) CountsByCode() map[string]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.codes)
}

// Resumes returns how often streams were resumed after a break.
func (s *Summary) Resumes() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.resumes
}
