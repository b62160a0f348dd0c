package e2e_test

import (
	"sync"
	"testing"
)

// maxProcesses is the number of processes that may run at the same time.
const maxProcesses = 20

// processRegistry holds the processes that were started and have not exited. It is safe for concurrent use.
type processRegistry struct {
	mu      sync.Mutex
	running map[*process]bool
}

// add registers a started process. It fails the test if more than maxProcesses are running.
func (r *processRegistry) add(t *testing.T, p *process) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(map[*process]bool)
	}
	r.running[p] = true
	if len(r.running) > maxProcesses {
		t.Errorf("%d processes run at the same time, too many", len(r.running))
	}
}

// remove unregisters a process that has exited.
func (r *processRegistry) remove(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, p)
}

// killAll kills all registered processes without waiting for their exit.
func (r *processRegistry) killAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.running {
		_ = p.cmd.Process.Kill() // It may have exited already.
	}
}
