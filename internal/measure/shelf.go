package measure

import (
	"cmp"
	"slices"
	"time"
)

// estimateKey names a moving average of costs.
type estimateKey struct {
	customer int
	class    string
}

// shelf is the queue of a baseline, with its own count of service.
type shelf struct {
	world *world
	// exact is set if costs are known before.
	exact bool
	// jobs are the waiting jobs by customer, model calls first, in the order of their due times.
	jobs      [2][][]*job
	waiting   [2]int
	counters  [2][]float64
	turn      int
	own       []int
	sent      [][]time.Duration
	estimates map[estimateKey]float64
	charged   map[*job]float64
}

// newShelf returns an empty queue.
func newShelf(w *world, exact bool) *shelf {
	s := &shelf{
		world: w, exact: exact, own: make([]int, len(w.engines)), sent: make([][]time.Duration, len(w.engines)),
		estimates: make(map[estimateKey]float64), charged: make(map[*job]float64),
	}
	for kind := range s.jobs {
		s.jobs[kind] = make([][]*job, w.deployment.Customers)
		s.counters[kind] = make([]float64, w.deployment.Customers)
	}
	return s
}

// kind returns the index of model calls or service calls.
func kind(service bool) int {
	if service {
		return 1
	}
	return 0
}

// size returns the number of waiting jobs.
func (s *shelf) size(service bool) int { return s.waiting[kind(service)] }

// due returns the instant by which a job should start.
func due(j *job) time.Duration { return j.arrival + j.class.patience }

// compareDue orders the jobs of one customer.
func compareDue(a, b *job) int { return cmp.Or(cmp.Compare(due(a), due(b)), cmp.Compare(a.id, b.id)) }

// add inserts a job. A customer that returns from idle is raised to the lowest counter of the others that wait.
func (s *shelf) add(j *job) {
	k := kind(j.service)
	list := &s.jobs[k][j.customer]
	if len(*list) == 0 {
		lowest, found := 0.0, false
		for customer, waiting := range s.jobs[k] {
			if len(waiting) > 0 && (!found || s.counters[k][customer] < lowest) {
				lowest, found = s.counters[k][customer], true
			}
		}
		s.counters[k][j.customer] = max(s.counters[k][j.customer], lowest)
	}
	at, _ := slices.BinarySearchFunc(*list, j, compareDue)
	*list = slices.Insert(*list, at, j)
	s.waiting[k]++
}

// remove takes a waiting job out; it reports whether the job was there.
func (s *shelf) remove(j *job) bool {
	k := kind(j.service)
	list := &s.jobs[k][j.customer]
	at, found := slices.BinarySearchFunc(*list, j, compareDue)
	if found {
		*list = slices.Delete(*list, at, at+1)
		s.waiting[k]--
	}
	return found
}

// expect returns the cost of a job as far as the queue knows it.
func (s *shelf) expect(j *job) float64 {
	if s.exact || j.service {
		return j.cost()
	}
	expected, known := s.estimates[estimateKey{j.customer, j.class.name}]
	if !known {
		expected = 256
	}
	if j.hint > 0 {
		expected = min(expected, float64(j.hint))
	}
	return expected + float64(j.prompt)/10
}

// charge counts the expected cost of a job.
func (s *shelf) charge(j *job) {
	s.charged[j] = s.expect(j)
	s.counters[kind(j.service)][j.customer] += s.charged[j] / float64(s.world.deployment.weight(j.customer))
}

// settle corrects the charge of a run that has ended.
func (s *shelf) settle(r *run) {
	j, weight := r.job, float64(s.world.deployment.weight(r.job.customer))
	s.counters[kind(j.service)][j.customer] += (r.units() - s.charged[j]) / weight
	delete(s.charged, j)
	at := slices.Index(s.world.engines, r.engine)
	s.own[at]--
	if !j.service && r.whole() {
		key := estimateKey{j.customer, j.class.name}
		old, known := s.estimates[key]
		if !known {
			old = float64(j.tokens)
		}
		s.estimates[key] = old + (float64(j.tokens)-old)/8
	}
}

// since returns how many jobs this queue sent to an engine after an instant.
func (s *shelf) since(engine int, at time.Duration) int {
	s.sent[engine] = slices.DeleteFunc(s.sent[engine], func(sent time.Duration) bool { return sent <= at })
	return len(s.sent[engine])
}
