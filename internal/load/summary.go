package load

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Summary sums up the calls of a load.
type Summary struct {
	// Elapsed is the time until the last call had ended.
	Elapsed time.Duration

	mutex   sync.Mutex
	all     *row
	groups  map[string]*row
	codes   map[string]int64
	resumes int64
}

// newSummary returns an empty summary.
func newSummary() *Summary {
	return &Summary{all: newRow("all"), groups: make(map[string]*row), codes: make(map[string]int64)}
}

// add counts one call.
func (s *Summary) add(call Call, due, end time.Time, outcome Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.all.add(due, end, outcome)
	for kind, name := range map[string]string{"class ": call.Class, "customer ": call.Customer} {
		if name == "" {
			continue
		}
		group, found := s.groups[kind+name]
		if !found {
			group = newRow(kind + name)
			s.groups[kind+name] = group
		}
		group.add(due, end, outcome)
	}
	if outcome.Code != "" {
		s.codes[outcome.Code]++
	}
	s.resumes += int64(outcome.Resumes)
}

// Rows returns the row of all calls, then those of the classes and customers, sorted by name.
func (s *Summary) Rows() []Row {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := make([]Row, 0, 1+len(s.groups))
	rows = append(rows, s.all.row())
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		rows = append(rows, s.groups[name].row())
	}
	return rows
}

// CountsByCode returns how many calls had each refusal or failure.
func (s *Summary) CountsByCode() map[string]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.codes)
}

// Resumes returns how many times an answer went on at another router.
func (s *Summary) Resumes() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.resumes
}
