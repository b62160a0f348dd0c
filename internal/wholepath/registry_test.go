package wholepath_test

import (
	"sync"
	"testing"
)

// processLimit is the greatest number of processes at a time.
const processLimit = 20

// registry has the processes that were started and not ended.
type registry struct {
	mu      sync.Mutex
	running map[*process]bool
}

// add notes a process. It fails the test if there are too many.
func (r *registry) add(t *testing.T, started *process) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(map[*process]bool)
	}
	r.running[started] = true
	if len(r.running) > processLimit {
		t.Errorf("%d processes run at the same time", len(r.running))
	}
}

// remove notes the end of a process.
func (r *registry) remove(ended *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, ended)
}

// killAll ends all processes.
func (r *registry) killAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for each := range r.running {
		_ = each.command.Process.Kill() // It may have ended.
	}
}
